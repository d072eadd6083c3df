#ifndef HIBISCUSGLADE_OWNER_INTERNAL_LINK_RATE_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_LINK_RATE_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace hibiscusglade {

/// One direction of this instance's link: how many bytes of large bodies it may
/// carry now, besides all else that the daemon sends or receives over it. A
/// link of unknown rate limits nothing.
class LinkRate {
 public:
  /// @param megabits_per_second rate of the link in 10^6 bit/s; 0: unknown.
  explicit LinkRate(double megabits_per_second);

  bool Limited() const { return bytes_per_second_ > 0; }

  /// @return whether the next piece may go.
  bool MaySend(Instant now);

  /// Deducts bytes of a body from what may go.
  void Spend(double bytes, Instant now);

  /// Gives back bytes that were deducted and will not be carried.
  void Return(double bytes) { allowance_bytes_ += bytes; }

  /// Bytes of the link's traffic belong to a body, and were deducted.
  void CountBody(uint64_t bytes) { body_bytes_ += bytes; }

  /// Deducts what the link carried besides bodies: requests, refusals, the
  /// control plane.
  /// @param total_bytes all bytes that the link has carried since the start.
  void OnTraffic(uint64_t total_bytes, Instant now);

  /// @return the size of one piece of a body, in bytes.
  size_t PieceBytes() const;

  /// @return how long the link needs for bytes of bodies.
  Duration TransferTime(double bytes) const;

  /// @return bytes that the link carries in a time.
  uint64_t BytesIn(Duration time) const;

  /// @return bytes that were let go ahead of the rate.
  double DebtBytes() const;

 private:
  void AddAllowance(Instant now);

  double bytes_per_second_;  ///< Of the daemon's bytes.
  double burst_bytes_;
  double allowance_bytes_;  ///< Below zero: let go ahead of the rate.
  Instant allowance_at_;
  uint64_t total_bytes_ = 0;  ///< Carried until traffic_at_.
  uint64_t body_bytes_ = 0;   ///< Of bodies, since traffic_at_.
  Instant traffic_at_;
  /// Moving average of what the link carries besides bodies.
  double other_bytes_per_second_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_LINK_RATE_H_
