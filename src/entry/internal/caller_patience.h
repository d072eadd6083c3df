#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_CALLER_PATIENCE_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_CALLER_PATIENCE_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace hibiscusglade {

/// Tells how long a caller has waited before its request came here. A caller
/// that was refused comes back with less time than callers of the same route
/// have at first; its objective counts from its first try. Without this, one
/// that returns late would be queued as if it were new, and those that can
/// still be answered in time would be behind it. Callers of one route are taken
/// to allow the same time at first, as those of the users' sites do; one that
/// allows less counts as having waited. Single-threaded.
class CallerPatience {
 public:
  /// @param timeout what the caller allows from now; zero when it does not say.
  /// @return time since its first try, as far as can be told.
  Duration WaitedBefore(const std::string& route, Duration timeout,
                        Instant now) {
    if (timeout <= Duration{}) return {};
    Longest& longest = longest_[route];
    if (now >= longest.since + kWindow) {
      longest.earlier = std::exchange(longest.recent, Duration{});
      longest.since = now;
    }
    longest.recent = std::max(longest.recent, timeout);
    return std::max(longest.recent, longest.earlier) - timeout;
  }

 private:
  /// Most callers of a route are new, so that a few seconds show the longest
  /// time; a change of what they allow is learned within two of these.
  static constexpr Duration kWindow = std::chrono::seconds(5);

  struct Longest {
    Duration recent{};   ///< Of the current window.
    Duration earlier{};  ///< Of the window before.
    Instant since;
  };

  std::map<std::string, Longest> longest_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_CALLER_PATIENCE_H_
