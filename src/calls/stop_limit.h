#ifndef HIBISCUSGLADE_CALLS_STOP_LIMIT_H_
#define HIBISCUSGLADE_CALLS_STOP_LIMIT_H_

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace hibiscusglade {

/// When the work of a daemon that was told to stop ends. Work that could last
/// longer must not be begun. Single-threaded.
class StopLimit {
 public:
  /// @param end until when work may run.
  void Set(Instant end) { end_ = end; }

  /// @return whether work with this deadline could still run when the daemon
  /// ends.
  bool EndsBefore(Instant deadline) const {
    return end_.has_value() && *end_ < deadline;
  }

  /// @return pause after which a caller of a refused request may come back. A
  /// caller that reaches no other daemon has to wait for the next process.
  Duration RetryAfter(Instant now) const {
    if (!end_.has_value()) return kMaxRetryAfter;
    return std::clamp(*end_ - now, kMinRetryAfter, kMaxRetryAfter);
  }

 private:
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

  std::optional<Instant> end_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_STOP_LIMIT_H_
