#ifndef HIBISCUSGLADE_BASE_RANDOM_H_
#define HIBISCUSGLADE_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace hibiscusglade {

/// Seeded source of random numbers for state machines, so that a test session
/// can be repeated with the same choices.
class Random {
 public:
  /// @param seed any number; equal seeds yield equal sequences.
  explicit Random(uint64_t seed) : engine_(seed) {}

  /// @return a number in [0, bound); 0 when bound is 0.
  uint64_t Below(uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }

  /// @return a number in [0, 1).
  double Fraction() {
    return static_cast<double>(engine_() >> 11U) * 0x1.0p-53;
  }

  /// @return a random duration between 0.5 and 1.5 times the interval.
  Duration Jittered(Duration interval) {
    const auto length = static_cast<uint64_t>(interval.count());
    return Duration(static_cast<int64_t>(length / 2 + Below(length)));
  }

  /// @return a number of 64 random bits.
  uint64_t Bits() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_RANDOM_H_
