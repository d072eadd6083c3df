#ifndef HIBISCUSGLADE_BASE_LOG_H_
#define HIBISCUSGLADE_BASE_LOG_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace hibiscusglade {

// The modules that log; .ci/check-logs compares this list with the calls of
// Log().
// Prefixes: app, caller, consensus, control, distribution, entry, flows, http,
// limits, owner, requests.

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging to standard output for the process.
/// @param level lowest level that is written.
/// @param instance name of this instance, written on each line.
/// @param failure_domain name of its failure domain, written on each line.
void InitLogging(LogLevel level, std::string_view instance,
                 std::string_view failure_domain);

/// Details of a log line, written after its sentence as key=value.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// @return a duration in whole milliseconds, for a field.
std::string MillisText(Duration duration);

/// @return the same; "-" when there is none.
std::string MillisText(const std::optional<Duration>& duration);

/// Limits the rate of one kind of log lines, so that logging doesn't slow down
/// the code that logs.
class LogRateLimiter {
 public:
  /// @param lines_per_second number of lines allowed in each second.
  explicit LogRateLimiter(uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// @return whether a line may be written now; counts it as written or as
  /// suppressed.
  bool AllowLine(Instant now);

  /// @return how many lines were suppressed since the last call.
  uint64_t TakeSuppressedCount() { return std::exchange(suppressed_lines_, 0); }

 private:
  uint32_t lines_per_second_;
  Instant window_start_;
  uint32_t lines_in_window_ = 0;
  uint64_t suppressed_lines_ = 0;
};

/// Writes one line.
/// @param prefix module that logs; one of the prefixes listed above.
/// @param sentence short sentence that says what happened.
/// @param fields for decisions: inputs, their age or version, and the outcome.
void Log(LogLevel level, std::string_view prefix, const std::string& sentence,
         const LogFields& fields = {});

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_LOG_H_
