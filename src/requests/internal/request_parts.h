#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_REQUEST_PARTS_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_REQUEST_PARTS_H_

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_loop.h"
#include "peer/peer_transport.h"
#include "peer/request_part.h"

namespace hibiscusglade {

/// The parts of the request plane that exchange messages of their own, and the
/// way from one to its like in any daemon. Used on the request thread only.
class RequestParts {
 public:
  /// All but the addresses must outlive this object.
  /// @param own_address request address of this daemon.
  RequestParts(const PeerIdentity& identity, std::string own_address,
               PeerTransport& transport, EventLoop& loop, const Clock& clock);

  void Add(std::unique_ptr<RequestPart> part);

  /// @param part must outlive this object.
  void Add(RequestPart& part) { parts_.push_back(&part); }

  /// @return what parts send by; names this daemon as the sender in each
  /// message; valid as long as this object.
  RequestPlaneSender Sender();

  /// @return whether the message was for one of the parts.
  bool OnPeerMessage(const std::string& from, const ReturnPath& path,
                     const wire::Envelope& message, Instant now);

  void OnTick(Instant now);

 private:
  void Send(const std::string& address, wire::Envelope& message);

  const PeerIdentity& identity_;
  std::string own_address_;
  PeerTransport& transport_;
  EventLoop& loop_;
  const Clock& clock_;
  std::vector<std::unique_ptr<RequestPart>> owned_parts_;
  std::vector<RequestPart*> parts_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_REQUEST_PARTS_H_
