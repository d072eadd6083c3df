#include "requests/internal/suspicion_exchange.h"

#include <utility>

#include "requests/internal/call_codec.h"
#include "routing/service_witnesses.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

bool IsSameUpstream(const std::optional<UpstreamAnnouncement>& a,
                    const std::optional<UpstreamAnnouncement>& b) {
  if (!a.has_value() || !b.has_value()) return a.has_value() == b.has_value();
  return a->service == b->service && a->id == b->id &&
         a->started_at_ms == b->started_at_ms;
}

}  // namespace

void SuspicionExchange::OnLocalUpstream(
    const std::optional<UpstreamAnnouncement>& upstream, Instant now) {
  if (IsSameUpstream(upstream_, upstream)) return;
  upstream_ = upstream;
  if (upstream.has_value()) {
    inquiry_.Begin(now);
  } else {
    inquiry_.End();
  }
  OnTick(now);
}

void SuspicionExchange::Spread(const std::string& service,
                               const std::vector<QuarantineNotice>& notices) {
  const RouteTablePtr table = routes_.Current();
  if (table == nullptr) return;
  for (const DomainDaemon& witness : WitnessesOf(*table, service, instance_)) {
    for (const QuarantineNotice& notice : notices) {
      wire::Envelope message;
      ToWire(notice, *message.mutable_quarantine_notice());
      transport_.Send(witness.request_address, message);
    }
  }
}

bool SuspicionExchange::OnPeerMessage(const std::string& from,
                                      const ReturnPath& path,
                                      const wire::Envelope& message,
                                      Instant now) {
  wire::Envelope answer;
  switch (message.body_case()) {
    case wire::Envelope::kQuarantineNotice:
      if (const auto more = quarantine_.OnNotice(
              FromWire(message.quarantine_notice()), now)) {
        ToWire(*more, *answer.mutable_quarantine_notice());
        Answer(from, path, answer);
      }
      return true;
    case wire::Envelope::kSuspicionPull:
      answer.mutable_suspicion_list();
      for (const QuarantineNotice& notice : quarantine_.Suspicions(now)) {
        ToWire(notice, *answer.mutable_suspicion_list()->add_suspicions());
      }
      Answer(from, path, answer);
      return true;
    case wire::Envelope::kSuspicionList:
      for (const auto& notice : message.suspicion_list().suspicions()) {
        quarantine_.OnNotice(FromWire(notice), now);
      }
      inquiry_.OnAnswer(from);
      UpdateHold(now);
      return true;
    default:
      return false;
  }
}

void SuspicionExchange::OnTick(Instant now) {
  if (inquiry_.Due(now)) {
    const RouteTablePtr table = routes_.Current();
    std::vector<std::string> peers;
    if (table != nullptr) {
      peers = OrderToAsk(WitnessesOf(*table, upstream_->service, instance_),
                         instance_);
    }
    for (const std::string& peer : inquiry_.ToAsk(peers, now)) {
      wire::Envelope message;
      message.mutable_suspicion_pull();
      transport_.Send(peer, message);
    }
  }
  UpdateHold(now);
}

void SuspicionExchange::UpdateHold(Instant now) {
  const bool hold = inquiry_.HoldsRuns(now);
  if (std::exchange(holding_, hold) != hold) hold_runs_(hold, now);
}

void SuspicionExchange::Answer(const std::string& from, const ReturnPath& path,
                               wire::Envelope& message) {
  if (path.empty()) {
    transport_.Send(from, message);
  } else {
    transport_.Reply(path, message);
  }
}

}  // namespace hibiscusglade
