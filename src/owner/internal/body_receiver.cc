#include "owner/internal/body_receiver.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {

std::optional<Duration> BodyReceiver::WaitForRoom(const Job& job,
                                                  const LoadReport& load,
                                                  Instant now) {
  BodyOffer offer = OfferOf(job, load);
  // Those whose bodies come before this one need slots before it, too.
  const auto ahead =
      static_cast<int64_t>(load.running + load.queued + grants_.Bodies());
  const int64_t slots = std::max<int64_t>(1, load.slots);
  offer.slot_wait =
      load.service_time * std::max<int64_t>(0, ahead + 1 - slots) / slots;
  auto wait = grants_.WaitForRoom(offer, now);
  if (wait.has_value()) metrics_.CounterOf("body_refusals_total", "").Add();
  return wait;
}

void BodyReceiver::Accept(const Job& job, const LoadReport& load) {
  grants_.Accept(job.attempt.id, OfferOf(job, load));
  entries_of_[job.attempt.id] = job.entry;
  PublishMissing();
}

PieceResult BodyReceiver::OnPiece(Job& job, uint64_t offset,
                                  const std::string& data) {
  std::string& body = job.attempt.request.body;
  if (offset != body.size()) return PieceResult::kMisplaced;
  if (!grants_.OnArrived(job.attempt.id, data.size())) {
    return PieceResult::kMisplaced;
  }
  if (body.empty()) body.reserve(job.attempt.offered_bytes);
  body += data;
  if (body.size() < job.attempt.offered_bytes) return PieceResult::kTaken;
  Remove(job);
  return PieceResult::kComplete;
}

void BodyReceiver::Remove(const Job& job) {
  if (entries_of_.erase(job.attempt.id) == 0) return;
  grants_.Remove(job.attempt.id);
  PublishMissing();
}

void BodyReceiver::SendGrants(Instant now) {
  uint64_t total_bytes = 0;
  for (const Counter* received : link_traffic_) {
    total_bytes += received->Value();
  }
  if (total_bytes > 0) grants_.OnTraffic(total_bytes, now);
  while (const auto grant = grants_.Next(now)) {
    entries_.SendGrant(entries_of_.at(grant->attempt), grant->attempt,
                       grant->until);
  }
}

BodyOffer BodyReceiver::OfferOf(const Job& job, const LoadReport& load) {
  BodyOffer offer;
  offer.bytes = job.attempt.offered_bytes;
  offer.service_time = load.service_time;
  offer.deadline = job.deadline;
  offer.objective = job.objective;
  return offer;
}

void BodyReceiver::PublishMissing() {
  const uint64_t missing = grants_.MissingBytes();
  if (std::exchange(published_missing_, missing) == missing) return;
  metrics_.SetGauge("body_missing_bytes", "", static_cast<double>(missing));
}

}  // namespace hibiscusglade
