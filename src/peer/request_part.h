#ifndef HIBISCUSGLADE_PEER_REQUEST_PART_H_
#define HIBISCUSGLADE_PEER_REQUEST_PART_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Sends a message to the request address of a daemon, this one included. It
/// may be lost.
using RequestPlaneSender =
    std::function<void(const std::string& address, wire::Envelope& message)>;

/// A part of the request plane that exchanges messages of its own with its like
/// in other daemons. Used on the request thread only.
class RequestPart {
 public:
  virtual ~RequestPart() = default;

  /// @param from address that the message came from; empty on a connection that
  /// the sender opened.
  /// @param path to answer by.
  /// @return whether the message was one of this part's.
  virtual bool OnPeerMessage(const std::string& from, const ReturnPath& path,
                             const wire::Envelope& message, Instant now) = 0;

  /// Called every 10 ms, less often while the daemon is idle.
  virtual void OnTick(Instant now) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_PEER_REQUEST_PART_H_
