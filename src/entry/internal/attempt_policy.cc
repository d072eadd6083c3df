#include "entry/internal/attempt_policy.h"

#include <algorithm>

#include "admission/admission_result_codes.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr double kHedgeQuantile = 0.95;
constexpr double kQuantileStep = 0.2;
constexpr uint32_t kMinSamples = 50;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(5);

/// The chosen owner or upstream can't serve the request. Sending it to another
/// one costs no upstream time, so neither the budget nor the depth limits it.
bool IsTargetUnavailable(const std::error_code& code) {
  return code == AdmissionCode::kNotServing ||
         code == AdmissionCode::kDraining ||
         code == AdmissionCode::kWrongService ||
         code == RoutingCode::kOwnerUnreachable ||
         code == RoutingCode::kStopsTooSoon;
}

/// Every other owner would refuse the request as well.
bool IsRefusedEverywhere(const std::error_code& code) {
  return code == AdmissionCode::kQuarantined;
}

}  // namespace

bool IsCapacityRefusal(const std::error_code& code) {
  return code == AdmissionCode::kQueueFull || code == AdmissionCode::kShed ||
         code == AdmissionCode::kWaitedTooLong ||
         code == AdmissionCode::kDeadlineTooNear;
}

bool IsExemptFromAttemptLimit(const Refusal& refusal) {
  return refusal.certainty == Certainty::kNotRun &&
         (IsTargetUnavailable(refusal.code) ||
          IsCapacityRefusal(refusal.code) ||
          refusal.code == AdmissionCode::kRejected ||
          refusal.code == AdmissionCode::kReplaced);
}

std::string_view AttemptDecisionName(AttemptDecision decision) {
  switch (decision) {
    case AttemptDecision::kAllowed:
      return "allowed";
    case AttemptDecision::kAnswering:
      return "answering";
    case AttemptDecision::kNotRepeatable:
      return "not_repeatable";
    case AttemptDecision::kDepth:
      return "depth";
    case AttemptDecision::kAttempts:
      return "attempts";
    case AttemptDecision::kBudget:
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
  FirstByteLatency& latency_stats = first_byte_latencies_[route];
  const double sample = std::max(1.0, static_cast<double>(latency.count()));
  ++latency_stats.samples;
  // The steps up and down balance when about 95 % of the samples are lower.
  if (latency_stats.samples == 1) {
    latency_stats.p95_micros = sample;
  } else if (sample > latency_stats.p95_micros) {
    latency_stats.p95_micros *= 1 + kQuantileStep * kHedgeQuantile;
  } else {
    latency_stats.p95_micros /= 1 + kQuantileStep * (1 - kHedgeQuantile);
  }
}

AttemptDecision AttemptPolicy::DecideRetry(const CallProgress& call,
                                           const Refusal& refusal) {
  const bool not_run = refusal.certainty == Certainty::kNotRun;
  if (call.head_forwarded) return AttemptDecision::kAnswering;
  if (!not_run && !call.route.repeatable) {
    return AttemptDecision::kNotRepeatable;
  }
  if (IsRefusedEverywhere(refusal.code)) return AttemptDecision::kAttempts;
  if (call.attempts >= call.route.max_attempts) {
    return AttemptDecision::kAttempts;
  }
  if (not_run && IsTargetUnavailable(refusal.code))
    return AttemptDecision::kAllowed;
  if (not_run && IsCapacityRefusal(refusal.code) &&
      call.owners_tried < call.max_owner_tries) {
    return AttemptDecision::kAllowed;
  }
  // An upstream that was replaced refuses few requests, so that no depth of
  // calls multiplies them.
  const bool replaced = not_run && refusal.code == AdmissionCode::kReplaced;
  if (call.depth > 0 && !replaced) return AttemptDecision::kDepth;
  return budgets_[call.service].retries.TryTake() ? AttemptDecision::kAllowed
                                                  : AttemptDecision::kBudget;
}

AttemptDecision AttemptPolicy::DecideHedge(const CallProgress& call) {
  if (call.head_forwarded) return AttemptDecision::kAnswering;
  if (!call.route.repeatable) return AttemptDecision::kNotRepeatable;
  if (call.depth > 0) return AttemptDecision::kDepth;
  if (call.attempts >= call.route.max_attempts) {
    return AttemptDecision::kAttempts;
  }
  // A hedge is deducted from the retry budget as well, so that retries and
  // hedges together stay within the retry percentage.
  Budgets& budgets = budgets_[call.service];
  return budgets.hedges.MayTake() && budgets.retries.TryTake() &&
                 budgets.hedges.TryTake()
             ? AttemptDecision::kAllowed
             : AttemptDecision::kBudget;
}

Duration AttemptPolicy::HedgeDelay(const std::string& route) const {
  auto found = first_byte_latencies_.find(route);
  if (found == first_byte_latencies_.end() ||
      found->second.samples < kMinSamples) {
    return Duration::max();
  }
  return std::max(kMinHedgeDelay,
                  Duration(static_cast<int64_t>(found->second.p95_micros)));
}

}  // namespace hibiscusglade
