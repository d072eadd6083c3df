#ifndef HIBISCUSGLADE_BASE_CLOCK_H_
#define HIBISCUSGLADE_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace hibiscusglade {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Point on the monotonic clock, never related to the calendar.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of time. State machines never read it: they are given an Instant.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return the current monotonic time.
  virtual Instant Now() const = 0;

  /// @return the current calendar time, in microseconds since 1970-01-01 UTC.
  virtual int64_t UnixMicros() const = 0;
};

/// The machine's clocks.
class SteadyClock : public Clock {
 public:
  Instant Now() const override;
  int64_t UnixMicros() const override;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_CLOCK_H_
