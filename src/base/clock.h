#ifndef HIBISCUSGLADE_BASE_CLOCK_H_
#define HIBISCUSGLADE_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace hibiscusglade {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Point in time on the monotonic clock, unrelated to the wall clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of time. State machines don't read it: their callers pass them the
/// current Instant.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return the current monotonic time.
  virtual Instant Now() const = 0;

  /// @return the wall-clock time, in microseconds since 1970-01-01 UTC.
  virtual int64_t UnixMicros() const = 0;

  /// @return time since the start of the machine. Time for which the machine
  /// was suspended counts, other than with Now().
  virtual Duration SinceBoot() const { return Now().time_since_epoch(); }
};

/// The clocks of the operating system.
class SteadyClock : public Clock {
 public:
  Instant Now() const override;
  int64_t UnixMicros() const override;
  Duration SinceBoot() const override;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_CLOCK_H_
