#include "entry/internal/call_reporter.h"

#include <string>

namespace hibiscusglade {

void CallReporter::LogOutcome(const OpenCall& call, const std::error_code& code,
                              std::string_view certainty, Instant now) {
  if (!log_rate_limiter_.AllowLine(now)) return;
  std::string owners;
  for (const std::string& instance : call.tried) {
    owners += (owners.empty() ? "" : ",") + instance;
  }
  const std::string outcome =
      code ? code.message() : "answered after a retry or hedge";
  Log(LogLevel::kInfo, "entry", "A call ended: " + outcome + ".",
      {{"request", call.request.request_id},
       {"route", call.route.has_value() ? call.route->name : "-"},
       {"service", call.service.empty() ? "-" : call.service},
       {"version", std::to_string(call.version)},
       {"confirmed_ms_ago", MillisText(call.confirmed_ago)},
       {"owners", owners.empty() ? "-" : owners},
       {"attempts", std::to_string(call.attempts)},
       {"code", std::to_string(code.value())},
       {"outcome", std::string(certainty)},
       {"ms", MillisText(now - call.began)},
       {"lines_left_out",
        std::to_string(log_rate_limiter_.TakeSuppressedCount())}});
}

void CallReporter::PublishEjections(const EjectionCounts& counts) {
  if (counts == published_counts_) return;
  metrics_.CounterOf("upstream_ejections_total", "")
      .Add(counts.ejections - published_counts_.ejections);
  metrics_.CounterOf("upstream_returns_total", "")
      .Add(counts.reinstatements - published_counts_.reinstatements);
  published_counts_ = counts;
}

void CallReporter::CountChoice(ChoiceReason reason) {
  if (reason == ChoiceReason::kSpillOver) {
    Count("choices_total", "spill_over");
  } else if (reason == ChoiceReason::kProbe) {
    Count("choices_total", "probe");
  } else if (reason == ChoiceReason::kOwnInstance) {
    Count("choices_total", "own_instance");
  } else if (reason == ChoiceReason::kPlanned) {
    Count("choices_total", "planned");
  }
}

void CallReporter::Count(std::string_view name, std::string_view reason) {
  metrics_.CounterOf(name, "reason=\"" + std::string(reason) + "\"").Add();
}

void CallReporter::Count(std::string_view name, const std::error_code& code) {
  metrics_.CounterOf(name, "code=\"" + std::to_string(code.value()) + "\"")
      .Add();
}

}  // namespace hibiscusglade
