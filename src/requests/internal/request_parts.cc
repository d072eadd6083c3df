#include "requests/internal/request_parts.h"

#include <algorithm>
#include <utility>

#include "peer/sender_name.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

RequestParts::RequestParts(const PeerIdentity& identity,
                           std::string own_address, PeerTransport& transport,
                           EventLoop& loop, const Clock& clock)
    : identity_(identity),
      own_address_(std::move(own_address)),
      transport_(transport),
      loop_(loop),
      clock_(clock) {}

void RequestParts::Add(std::unique_ptr<RequestPart> part) {
  Add(*part);
  owned_parts_.push_back(std::move(part));
}

RequestPlaneSender RequestParts::Sender() {
  return [this](const std::string& address, wire::Envelope& message) {
    Send(address, message);
  };
}

bool RequestParts::OnPeerMessage(const std::string& from,
                                 const ReturnPath& path,
                                 const wire::Envelope& message, Instant now) {
  return std::ranges::any_of(parts_, [&](RequestPart* part) {
    return part->OnPeerMessage(from, path, message, now);
  });
}

void RequestParts::OnTick(Instant now) {
  for (RequestPart* part : parts_) part->OnTick(now);
}

void RequestParts::Send(const std::string& address, wire::Envelope& message) {
  NameSender(identity_, message);
  if (address != own_address_) {
    // The transport counts what it can't send; parts repeat what matters.
    transport_.Send(address, message);
    return;
  }
  loop_.Defer(
      [this, message] { OnPeerMessage("", "", message, clock_.Now()); });
}

}  // namespace hibiscusglade
