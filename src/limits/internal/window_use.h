#ifndef HIBISCUSGLADE_LIMITS_INTERNAL_WINDOW_USE_H_
#define HIBISCUSGLADE_LIMITS_INTERNAL_WINDOW_USE_H_

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

/// Requests of the last window of 5 s, by slots. What a bucket holds follows
/// from them alone, so that a coordinator that has just begun knows it once it
/// has heard what the others used. Nothing before the window matters: a window
/// that began earlier has ended.
class WindowUse {
 public:
  static constexpr Duration kSlot = std::chrono::milliseconds(250);
  /// Those of a window, and the one that has begun.
  static constexpr size_t kSlots = 21;

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

  /// @return requests in the window.
  uint64_t Sum(Instant now);

  void Clear() { slots_.fill(0); }

 private:
  void Advance(Instant now);
  /// @param age in slots.
  uint32_t& SlotOf(size_t age) {
    return slots_[static_cast<size_t>(newest_ + kSlots - age) % kSlots];
  }

  std::array<uint32_t, kSlots> slots_{};
  uint64_t newest_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_INTERNAL_WINDOW_USE_H_
