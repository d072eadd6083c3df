#include "control/internal/confirmation_reporter.h"

#include <string>
#include <utility>

#include "base/log.h"

namespace hibiscusglade {
namespace {

/// A change may be in force elsewhere by then.
constexpr Duration kMissingAfter = std::chrono::seconds(2);

}  // namespace

void ConfirmationReporter::Report(const std::optional<Duration>& age,
                                  const ConfigVersionPtr& in_use, Instant now) {
  if (!age.has_value()) return;
  const Instant confirmed_at = now - *age;
  if (confirmed_at_ != confirmed_at) routes_.SetConfirmedAt(confirmed_at);
  const std::optional<Instant> previous =
      std::exchange(confirmed_at_, confirmed_at);
  const bool missing = *age > kMissingAfter;
  if (missing == std::exchange(missing_, missing)) return;
  const LogFields fields = {
      {"version", in_use == nullptr ? "-" : std::to_string(in_use->number)},
      {"without_confirmation_ms",
       MillisText(now - previous.value_or(confirmed_at))}};
  if (missing) {
    Log(LogLevel::kWarning, "distribution",
        "The version in use may not be the latest: nobody confirms it.",
        fields);
  } else {
    Log(LogLevel::kInfo, "distribution",
        "The version in use is confirmed again.", fields);
  }
}

}  // namespace hibiscusglade
