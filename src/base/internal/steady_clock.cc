#include <time.h>

#include "base/clock.h"

namespace hibiscusglade {

Instant SteadyClock::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

int64_t SteadyClock::UnixMicros() const {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(since_epoch).count();
}

Duration SteadyClock::SinceBoot() const {
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    return Now().time_since_epoch();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace hibiscusglade
