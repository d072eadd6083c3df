#include "owner/internal/run_reporter.h"

#include <string>

namespace hibiscusglade {

void RunReporter::LogFailure(const Job& job, const RunFailure& failure,
                             Instant now) {
  if (!log_rate_limiter_.AllowLine(now)) return;
  Log(LogLevel::kInfo, "owner", "A run failed: " + failure.reason + ".",
      {{"request", job.attempt.request.request_id},
       {"upstream", job.attempt.upstream_id},
       {"progress", std::to_string(static_cast<int>(failure.progress))},
       {"version", std::to_string(job.attempt.version)},
       {"ms", MillisText(now - job.run_started)},
       {"lines_left_out",
        std::to_string(log_rate_limiter_.TakeSuppressedCount())}});
}

void RunReporter::LogAlive(std::string_view evidence, Instant now) {
  if (!log_rate_limiter_.AllowLine(now)) return;
  Log(LogLevel::kInfo, "owner", "Lost connections show no death.",
      {{"evidence", std::string(evidence)},
       {"lines_left_out",
        std::to_string(log_rate_limiter_.TakeSuppressedCount())}});
}

void RunReporter::LogDeath(std::string_view evidence,
                           const DeathSuspects& suspects) {
  Log(LogLevel::kWarning, "owner", "The upstream died under requests.",
      {{"evidence", std::string(evidence)},
       {"suspects", std::to_string(suspects.fingerprints.size())},
       {"candidates", std::to_string(suspects.candidates)}});
}

}  // namespace hibiscusglade
