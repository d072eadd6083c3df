#ifndef HIBISCUSGLADE_LIMITS_INTERNAL_WINDOW_USE_H_
#define HIBISCUSGLADE_LIMITS_INTERNAL_WINDOW_USE_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace hibiscusglade {

/// A bucket of tokens: a request takes one.
struct BucketTerms {
  double rate = 0;      ///< Tokens per second.
  double start = 0;     ///< Tokens that it holds before the window.
  double capacity = 0;  ///< Tokens that it holds at most.

  friend bool operator==(const BucketTerms&, const BucketTerms&) = default;
};

/// @return terms under which a bucket holds at least what it does under either.
inline BucketTerms LooserOf(const BucketTerms& a, const BucketTerms& b) {
  return {std::max(a.rate, b.rate), std::max(a.start, b.start),
          std::max(a.capacity, b.capacity)};
}

/// A change of a bucket's terms.
struct BucketChange {
  BucketTerms before;
  Instant at;

  friend bool operator==(const BucketChange&, const BucketChange&) = default;
};

/// A bucket whose terms changed in the window.
struct ChangedBucket {
  BucketTerms terms;                  ///< In force.
  std::vector<BucketChange> changes;  ///< Oldest first.

  friend bool operator==(const ChangedBucket&, const ChangedBucket&) = default;
};

/// Requests of the last window of 5 s, by slots. What a bucket holds follows
/// from them alone, so that a coordinator that has just begun knows it once it
/// has heard what the others used. Nothing before the window matters: a window
/// that began earlier has ended.
class WindowUse {
 public:
  static constexpr Duration kSlot = std::chrono::milliseconds(250);
  /// Those of a window, and the one that has begun.
  static constexpr size_t kSlots = 21;
  static constexpr Duration kWindow = kSlots * kSlot;

  static bool InOneSlot(Instant a, Instant b) {
    return a.time_since_epoch() / kSlot == b.time_since_epoch() / kSlot;
  }

  void Add(uint32_t requests, Instant now);

  /// Takes out requests that were not run, the oldest ones first: so there is
  /// never more in the bucket than if they had not been counted.
  /// @param since time at which the first of them was counted.
  void Remove(uint32_t requests, Instant since, Instant now);

  /// Adds what another one holds.
  /// @param slots newest first, as of SlotsNewestFirst().
  void AddSlots(const std::vector<uint32_t>& slots, Instant now);

  /// @return the slots without the empty ones at the end.
  std::vector<uint32_t> SlotsNewestFirst(Instant now);

  /// @return the tokens in a bucket from which these requests were taken; less
  /// than zero when more were taken than it held.
  double Level(const BucketTerms& terms, Instant now);

  /// A change of terms takes nothing from what was used and gives nothing back:
  /// a slot counts by the loosest terms in force from then on, so that a
  /// stricter limit leaves the bucket as full as it was, up to its capacity,
  /// and a looser one holds for the whole window. No window holds more than the
  /// loosest of them allows.
  double Level(const ChangedBucket& bucket, Instant now);

  /// @return requests in the window.
  uint64_t Sum(Instant now);

 private:
  void Advance(Instant now);

  /// The rate of one version and the capacity of another allow more than any of
  /// them alone.
  /// @return what may be used so that from each change on, no window holds more
  /// than the loosest terms from then on allow; infinite without a change.
  double RoomBesideEarlierUse(const ChangedBucket& bucket);

  /// @return requests in the slots that began at a time or later.
  double UseSince(Instant since);

  /// @param age in slots.
  uint32_t& SlotOf(size_t age) {
    return slots_[static_cast<size_t>(newest_ + kSlots - age) % kSlots];
  }

  std::array<uint32_t, kSlots> slots_{};
  uint64_t newest_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_INTERNAL_WINDOW_USE_H_
