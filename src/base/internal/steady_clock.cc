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

}  // namespace hibiscusglade
