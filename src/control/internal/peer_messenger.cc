#include "control/internal/peer_messenger.h"

#include <utility>

#include "consensus/consensus_codec.h"

namespace hibiscusglade {

PeerMessenger::PeerMessenger(PeerTransport& transport, std::string own_address,
                             PeerTransport::Receiver receiver)
    : transport_(transport),
      own_address_(std::move(own_address)),
      receiver_(std::move(receiver)) {}

void PeerMessenger::SendOrDeliver(const std::string& address,
                                  wire::Envelope& message) {
  if (address != own_address_) {
    transport_.Send(address, message);
    return;
  }
  own_messages_.emplace_back(
      [this, message] { receiver_(own_address_, "", message); });
}

void PeerMessenger::SendOrReply(const std::string& address,
                                const std::string& from, const ReturnPath& path,
                                wire::Envelope& answer) {
  if (address == kSenderAddress) {
    Reply(from, path, answer);
  } else {
    SendOrDeliver(address, answer);
  }
}

void PeerMessenger::Reply(const std::string& from, const ReturnPath& path,
                          wire::Envelope& message) {
  if (path.empty()) {
    SendOrDeliver(from, message);
  } else {
    transport_.Reply(path, message);
  }
}

void PeerMessenger::SendConsensusMessage(GroupId group,
                                         const std::string& address,
                                         const ConsensusMessage& message) {
  wire::Envelope envelope;
  wire::ConsensusMessage* out = envelope.mutable_consensus();
  ToWire(message, *out);
  out->set_group(static_cast<uint32_t>(group));
  transport_.Send(address, envelope);
}

void PeerMessenger::SendGroupRequest(const std::string& address,
                                     const GroupRequest& request) {
  wire::Envelope envelope;
  wire::ProposeRequest* out = envelope.mutable_propose_request();
  out->set_group(static_cast<uint32_t>(request.group));
  out->set_request(request.request_id);
  out->set_command(request.command);
  out->set_read(request.read);
  SendOrDeliver(address, envelope);
}

void PeerMessenger::HandleOwnMessages() {
  for (Executor::Task& task : std::exchange(own_messages_, {})) task();
}

}  // namespace hibiscusglade
