#ifndef HIBISCUSGLADE_OWNER_INTERNAL_RUN_REPORTER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_RUN_REPORTER_H_

#include <string_view>

#include "base/log.h"
#include "calls/call_links.h"
#include "owner/internal/job.h"
#include "owner/internal/upstream_death_detector.h"

namespace hibiscusglade {

/// Writes the log lines of one owner. Refusals under load are counted but not
/// logged here: the entry logs their code.
class RunReporter {
 public:
  /// Logs a failed run, within a limit of lines per second.
  void LogFailure(const Job& job, const RunFailure& failure, Instant now);

  /// Logs that lost connections do not show a death, within the limit.
  /// @param evidence why not.
  void LogAlive(std::string_view evidence, Instant now);

  /// @param evidence what proves the death.
  static void LogDeath(std::string_view evidence,
                       const DeathSuspects& suspects);

 private:
  static constexpr uint32_t kLogLinesPerSecond = 10;

  LogRateLimiter log_rate_limiter_{kLogLinesPerSecond};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_RUN_REPORTER_H_
