#include "owner/internal/body_grants.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMinWaitForRoom = milliseconds(10);
/// Bytes of one body that may be on their way: those of a round trip between
/// failure domains, with the ticks at both ends.
constexpr Duration kWindow = milliseconds(60);
constexpr uint64_t kMinWindowBytes = uint64_t{16} << 10U;
/// While the rate is unknown.
constexpr uint64_t kDefaultWindowBytes = uint64_t{256} << 10U;
/// Bodies that together exceed this are not begun at the same time; a larger
/// one comes alone.
constexpr uint64_t kMaxBegunBytes = uint64_t{16} << 20U;

/// @return the time by which a body's place in the order is determined. One
/// that has missed its objective goes behind those that can keep theirs.
Instant DueAt(const BodyOffer& offer, Instant now) {
  return offer.objective > now ? offer.objective : offer.deadline;
}

}  // namespace

std::optional<Duration> BodyGrants::WaitForRoom(const BodyOffer& offer,
                                                Instant now) const {
  if (bodies_.empty() && offer.slot_wait <= Duration{}) return std::nullopt;
  const auto missing = static_cast<double>(missing_bytes_);
  const auto bytes = static_cast<double>(offer.bytes);
  const Duration backlog = rate_.TransferTime(missing + rate_.DebtBytes());
  const Duration transfer = rate_.TransferTime(bytes);
  const Instant earliest = now + transfer + offer.service_time;
  if (offer.objective != Instant{} && earliest > offer.objective) {
    return std::max(kMinWaitForRoom, backlog);
  }
  const Instant start = now + std::max(backlog + transfer, offer.slot_wait);
  const Instant latest = offer.objective == Instant{}
                             ? offer.deadline
                             : std::min(offer.deadline, offer.objective);
  if (start + offer.service_time <= latest) return std::nullopt;
  return std::max(kMinWaitForRoom, std::chrono::duration_cast<Duration>(
                                       start + offer.service_time - latest));
}

void BodyGrants::Accept(const AttemptId& attempt, const BodyOffer& offer) {
  bodies_[attempt] = {offer};
  missing_bytes_ += offer.bytes;
}

std::optional<BodyGrant> BodyGrants::Next(Instant now) {
  if (bodies_.empty() || !rate_.MaySend(now)) return std::nullopt;
  auto next = bodies_.end();
  for (auto item = bodies_.begin(); item != bodies_.end(); ++item) {
    if (!MayGrant(item->second)) continue;
    if (next == bodies_.end() ||
        DueAt(item->second.offer, now) < DueAt(next->second.offer, now)) {
      next = item;
    }
  }
  if (next == bodies_.end()) return std::nullopt;
  Body& body = next->second;
  if (body.granted == 0) begun_bytes_ += body.offer.bytes;
  const uint64_t until =
      std::min<uint64_t>(body.offer.bytes, body.granted + rate_.PieceBytes());
  if (rate_.Limited()) {
    rate_.Spend(static_cast<double>(until - body.granted), now);
  }
  body.granted = until;
  return BodyGrant{next->first, until};
}

bool BodyGrants::OnArrived(const AttemptId& attempt, uint64_t bytes) {
  auto found = bodies_.find(attempt);
  if (found == bodies_.end()) return false;
  Body& body = found->second;
  if (bytes > body.granted - body.arrived) return false;
  body.arrived += bytes;
  missing_bytes_ -= bytes;
  rate_.CountBody(bytes);
  return true;
}

void BodyGrants::Remove(const AttemptId& attempt) {
  auto found = bodies_.find(attempt);
  if (found == bodies_.end()) return;
  const Body& body = found->second;
  missing_bytes_ -= body.offer.bytes - body.arrived;
  if (body.granted > 0) begun_bytes_ -= body.offer.bytes;
  if (rate_.Limited()) {
    rate_.Return(static_cast<double>(body.granted - body.arrived));
  }
  bodies_.erase(found);
}

bool BodyGrants::MayGrant(const Body& body) const {
  if (body.granted == body.offer.bytes) return false;
  if (body.granted - body.arrived >= WindowBytes()) return false;
  return body.granted > 0 || begun_bytes_ == 0 ||
         begun_bytes_ + body.offer.bytes <= kMaxBegunBytes;
}

uint64_t BodyGrants::WindowBytes() const {
  if (!rate_.Limited()) return kDefaultWindowBytes;
  return std::max(kMinWindowBytes, rate_.BytesIn(kWindow));
}

}  // namespace hibiscusglade
