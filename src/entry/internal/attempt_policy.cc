#include "entry/internal/attempt_policy.h"

#include <algorithm>

#include "admission/admission_result_codes.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr double kQuantile = 0.95;
constexpr double kQuantileStep = 0.2;
constexpr uint32_t kLeastSamples = 50;
constexpr Duration kLeastHedgeDelay = std::chrono::milliseconds(5);

/// The request went to the wrong place; another place costs no upstream's
/// time, so neither budget nor depth forbids it.
bool IsMisplaced(const std::error_code& code) {
  return code == AdmissionCode::kNotServing ||
         code == AdmissionCode::kDraining ||
         code == AdmissionCode::kWrongService ||
         code == RoutingCode::kOwnerUnreachable;
}

/// Another place would refuse it as well.
bool IsHopeless(const std::error_code& code) {
  return code == AdmissionCode::kQuarantined;
}

}  // namespace

bool IsForWantOfRoom(const std::error_code& code) {
  return code == AdmissionCode::kQueueFull || code == AdmissionCode::kShed ||
         code == AdmissionCode::kWaitedTooLong ||
         code == AdmissionCode::kDeadlineTooNear;
}

bool HasRunNowhere(const Refusal& refusal) {
  return refusal.certainty == Certainty::kNotRun &&
         (IsMisplaced(refusal.code) || IsForWantOfRoom(refusal.code) ||
          refusal.code == AdmissionCode::kRejected);
}

std::string_view AttemptVerdictName(AttemptVerdict verdict) {
  switch (verdict) {
    case AttemptVerdict::kAllowed:
      return "allowed";
    case AttemptVerdict::kAnswering:
      return "answering";
    case AttemptVerdict::kNotRepeatable:
      return "not_repeatable";
    case AttemptVerdict::kDepth:
      return "depth";
    case AttemptVerdict::kAttempts:
      return "attempts";
    case AttemptVerdict::kBudget:
      break;
  }
  return "budget";
}

void AttemptPolicy::OnCall(const std::string& service,
                           const LimitsConfig& limits) {
  Budgets& budgets = budgets_[service];
  budgets.retries.SetPercent(limits.retry_budget_percent);
  budgets.hedges.SetPercent(limits.hedge_budget_percent);
  budgets.retries.OnRequest();
  budgets.hedges.OnRequest();
}

void AttemptPolicy::OnFirstByte(const std::string& route, Duration latency) {
  FirstByte& seen = first_bytes_[route];
  const double sample = std::max(1.0, static_cast<double>(latency.count()));
  ++seen.samples;
  if (seen.samples == 1) {
    seen.p95_micros = sample;
  } else if (sample > seen.p95_micros) {
    seen.p95_micros *= 1 + kQuantileStep * kQuantile;
  } else {
    seen.p95_micros /= 1 + kQuantileStep * (1 - kQuantile);
  }
}

AttemptVerdict AttemptPolicy::Retry(const CallProgress& call,
                                    const Refusal& refusal) {
  const bool not_run = refusal.certainty == Certainty::kNotRun;
  if (call.head_passed) return AttemptVerdict::kAnswering;
  if (!not_run && !call.route.repeatable) {
    return AttemptVerdict::kNotRepeatable;
  }
  if (IsHopeless(refusal.code)) return AttemptVerdict::kAttempts;
  if (call.attempts >= call.route.max_attempts) {
    return AttemptVerdict::kAttempts;
  }
  if (not_run && IsMisplaced(refusal.code)) return AttemptVerdict::kAllowed;
  if (not_run && IsForWantOfRoom(refusal.code) &&
      call.owners_asked < call.max_owner_tries) {
    return AttemptVerdict::kAllowed;
  }
  if (call.depth > 0) return AttemptVerdict::kDepth;
  return budgets_[call.service].retries.TryTake() ? AttemptVerdict::kAllowed
                                                  : AttemptVerdict::kBudget;
}

AttemptVerdict AttemptPolicy::Hedge(const CallProgress& call) {
  if (call.head_passed) return AttemptVerdict::kAnswering;
  if (!call.route.repeatable) return AttemptVerdict::kNotRepeatable;
  if (call.depth > 0) return AttemptVerdict::kDepth;
  if (call.attempts >= call.route.max_attempts) {
    return AttemptVerdict::kAttempts;
  }
  // A hedge counts against retries as well, so that both together stay under
  // the retries' share.
  Budgets& budgets = budgets_[call.service];
  return budgets.hedges.TryTake() && budgets.retries.TryTake()
             ? AttemptVerdict::kAllowed
             : AttemptVerdict::kBudget;
}

Duration AttemptPolicy::HedgeDelay(const std::string& route) const {
  auto found = first_bytes_.find(route);
  if (found == first_bytes_.end() || found->second.samples < kLeastSamples) {
    return Duration::max();
  }
  return std::max(kLeastHedgeDelay,
                  Duration(static_cast<int64_t>(found->second.p95_micros)));
}

}  // namespace hibiscusglade
