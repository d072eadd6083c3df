#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_CALLER_WAIT_ESTIMATOR_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_CALLER_WAIT_ESTIMATOR_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace hibiscusglade {

/// Estimates how long a caller had waited before its request reached this
/// entry. A caller that was refused retries with a shorter timeout than the
/// callers of the same route allow on their first try; its objective counts
/// from its first try. Otherwise a late retry would be queued as if it were
/// new, ahead of calls that can still be answered in time. Assumes that callers
/// of one route allow the same timeout on their first try, as those of the
/// users' sites do; a caller with a shorter timeout counts as having waited.
/// Single-threaded.
class CallerWaitEstimator {
 public:
  /// @param timeout remaining time that the caller allows; zero when it does
  /// not state any.
  /// @param limit the route's timeout, beyond which no caller's has an effect.
  /// @return estimated time since the caller's first try.
  Duration EstimatePriorWait(const std::string& route, Duration timeout,
                             Duration limit, Instant now) {
    if (timeout <= Duration{}) return {};
    LongestTimeout& longest = longest_timeouts_[route];
    if (now >= longest.window_start + kWindow) {
      longest.previous = std::exchange(longest.current, Duration{});
      longest.window_start = now;
    }
    longest.current = std::max(longest.current, timeout);
    // The limit may have changed since, so the longest ones are kept as stated.
    return std::min(std::max(longest.current, longest.previous), limit) -
           std::min(timeout, limit);
  }

 private:
  /// Most callers of a route are on their first try, so a few seconds are
  /// enough to observe the longest timeout; a change of the callers' timeouts
  /// takes effect within two windows.
  static constexpr Duration kWindow = std::chrono::seconds(5);

  /// Longest timeouts stated by callers of one route in the current and the
  /// previous window.
  struct LongestTimeout {
    Duration current{};
    Duration previous{};
    Instant window_start;
  };

  std::map<std::string, LongestTimeout> longest_timeouts_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_CALLER_WAIT_ESTIMATOR_H_
