#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_PEER_MESSENGER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_PEER_MESSENGER_H_

#include <string>
#include <vector>

#include "base/executor.h"
#include "consensus/replica.h"
#include "control/internal/group_client.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Sends messages to peers, and delivers those that this daemon sends to
/// itself. Used on the control thread only.
class PeerMessenger {
 public:
  /// Placeholder for the address of the sender of the message being handled.
  static constexpr char kSenderAddress[] = "sender";

  /// @param own_address control address of this daemon.
  /// @param receiver called with each message to this daemon itself.
  PeerMessenger(PeerTransport& transport, std::string own_address,
                PeerTransport::Receiver receiver);

  /// Sends a message. A message to this daemon itself is queued and handled
  /// after the current one, by HandleOwnMessages().
  void SendOrDeliver(const std::string& address, wire::Envelope& message);

  /// Sends a message to an address, or as a reply when that is kSenderAddress.
  void SendOrReply(const std::string& address, const std::string& from,
                   const ReturnPath& path, wire::Envelope& answer);

  /// Answers a message on the connection that it arrived on; without a path, by
  /// a message to `from`.
  void Reply(const std::string& from, const ReturnPath& path,
             wire::Envelope& message);

  void SendConsensusMessage(GroupId group, const std::string& address,
                            const ConsensusMessage& message);
  void SendGroupRequest(const std::string& address,
                        const GroupRequest& request);

  /// Handles the messages that this daemon has sent to itself.
  void HandleOwnMessages();

 private:
  PeerTransport& transport_;
  std::string own_address_;
  PeerTransport::Receiver receiver_;
  std::vector<Executor::Task> own_messages_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_PEER_MESSENGER_H_
