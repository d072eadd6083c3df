#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_SUSPICION_EXCHANGE_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_SUSPICION_EXCHANGE_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admission/quarantine.h"
#include "admission/suspicion_inquiry.h"
#include "membership/types/instance_record.h"
#include "peer/peer_transport.h"
#include "peer/request_part.h"
#include "routing/route_table_holder.h"

namespace hibiscusglade {

/// Spreads the suspicions against requests that crash upstreams, and asks for
/// them when the upstream beside this daemon is used.
class SuspicionExchange : public RequestPart {
 public:
  /// Starts no run at the upstream, or no longer prevents it.
  using HoldRuns = std::function<void(bool hold, Instant now)>;

  /// @param transport and the others must outlive this object.
  SuspicionExchange(std::string instance, Quarantine& quarantine,
                    const RouteTableHolder& routes, PeerTransport& transport,
                    HoldRuns hold_runs)
      : instance_(std::move(instance)),
        quarantine_(quarantine),
        routes_(routes),
        transport_(transport),
        hold_runs_(std::move(hold_runs)) {}

  /// To be called before the owner is told.
  void OnLocalUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                       Instant now);

  /// Notifies the witnesses of a service.
  void Spread(const std::string& service,
              const std::vector<QuarantineNotice>& notices);

  bool OnPeerMessage(const std::string& from, const ReturnPath& path,
                     const wire::Envelope& message, Instant now) override;
  void OnTick(Instant now) override;

 private:
  void UpdateHold(Instant now);
  void Answer(const std::string& from, const ReturnPath& path,
              wire::Envelope& message);

  const std::string instance_;
  Quarantine& quarantine_;
  const RouteTableHolder& routes_;
  PeerTransport& transport_;
  const HoldRuns hold_runs_;
  SuspicionInquiry inquiry_;
  std::optional<UpstreamAnnouncement> upstream_;
  bool holding_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_SUSPICION_EXCHANGE_H_
