#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_CALL_REPORTER_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_CALL_REPORTER_H_

#include <string_view>
#include <system_error>

#include "base/log.h"
#include "base/metrics.h"
#include "entry/internal/call_table.h"
#include "routing/upstream_chooser.h"

namespace hibiscusglade {

/// Writes the log lines and counters of one entry.
class CallReporter {
 public:
  explicit CallReporter(Metrics& metrics) : metrics_(metrics) {}

  /// Logs one line for each call that is refused, fails or needs more than one
  /// owner, within a limit of lines per second.
  /// @param code why the call was not answered; no error when it was.
  /// @param certainty "run" when the call was answered.
  void LogOutcome(const OpenCall& call, const std::error_code& code,
                  std::string_view certainty, Instant now);

  /// Adds what has been counted since the last time.
  void PublishEjections(const EjectionCounts& counts);

  void CountChoice(ChoiceReason reason);

  // These count one event under a metric's label `reason` or `code`.
  void Count(std::string_view name, std::string_view reason);
  void Count(std::string_view name, const std::error_code& code);

 private:
  /// Writing a line takes some 10 us, so that logging uses less than a
  /// thousandth of a core.
  static constexpr uint32_t kLogLinesPerSecond = 20;

  Metrics& metrics_;
  LogRateLimiter log_rate_limiter_{kLogLinesPerSecond};
  EjectionCounts published_counts_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_CALL_REPORTER_H_
