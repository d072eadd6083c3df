#include "entry/internal/call_intake.h"

#include <utility>

#include "customers/key_check.h"

namespace hibiscusglade {
namespace {

/// A daemon that has just started receives the version within some hundred
/// milliseconds.
constexpr Duration kNoVersionRetryAfter = std::chrono::milliseconds(300);

}  // namespace

Refusal RefusalOf(RoutingCode code, Certainty certainty) {
  const std::error_code error = code;
  return {error, certainty, error.message(), {}};
}

std::optional<Refusal> CallIntake::Open(OpenCall& call, Instant now) {
  if (const auto refused = FindRoute(call)) {
    Refusal refusal = RefusalOf(*refused, Certainty::kNotRun);
    if (*refused == RoutingCode::kNoVersion) {
      refusal.retry_after = kNoVersionRetryAfter;
    } else if (*refused == RoutingCode::kStopping) {
      refusal.retry_after = stop_limit_.RetryAfter(now);
    }
    return refusal;
  }
  call.SetDeadlines(now);
  call.begun_work =
      call.request.depth > 0 ||
      begun_work_.contains({call.service, call.route->request_class});
  call.objective = now + call.route->objective - PriorWait(call, now);
  return Count(call, now);
}

std::optional<Refusal> CallIntake::Count(OpenCall& call, Instant now) {
  if (!call.customer.has_value()) return std::nullopt;
  const auto wait = limits_.Take(*call.customer, now);
  call.counted = !wait.has_value() && call.customer->rate_per_s > 0;
  if (!wait.has_value()) return std::nullopt;
  Refusal refusal = RefusalOf(RoutingCode::kOverLimit, Certainty::kNotRun);
  refusal.retry_after = *wait;
  return refusal;
}

void CallIntake::OnLoad(OpenCall& call, const LoadReport& load) {
  const bool made_by_upstreams = load.begun_work;
  if (call.request.depth > 0 || call.begun_work == made_by_upstreams) return;
  call.begun_work = made_by_upstreams;
  const std::pair key(call.service, call.route->request_class);
  if (made_by_upstreams) {
    begun_work_.insert(key);
  } else {
    begun_work_.erase(key);
  }
}

/// An upstream asks once, with the time that it has left or usually allows.
Duration CallIntake::PriorWait(const OpenCall& call, Instant now) {
  if (call.begun_work) return {};
  return wait_estimator_.EstimatePriorWait(
      call.route->name, call.request.timeout, call.route->timeout, now);
}

std::optional<RoutingCode> CallIntake::FindRoute(OpenCall& call) {
  const RouteTablePtr table = routes_.Current();
  if (table != nullptr) call.version = table->VersionNumber();
  call.confirmed_ago = routes_.ConfirmationAge(call.began);
  if (stopping_) return RoutingCode::kStopping;
  if (table == nullptr) return RoutingCode::kNoVersion;
  const RouteConfig* route =
      table->Match(call.request.host, call.request.method, call.request.target);
  if (route == nullptr) return RoutingCode::kNoRoute;
  call.route = *route;
  if (const auto refused = FindCustomer(*table, call)) return refused;
  call.limits = table->Document().limits;
  call.service = share_picker_.PickService(*route);
  FindUpstreams(call, *table);
  return std::nullopt;
}

std::optional<RoutingCode> CallIntake::FindCustomer(const RouteTable& table,
                                                    OpenCall& call) {
  KeyCheck check =
      CheckKey(table.Customers(), table.Document(), *call.route, call.request);
  call.customer = std::move(check.customer);
  switch (check.verdict) {
    case KeyVerdict::kMissing:
      return RoutingCode::kKeyMissing;
    case KeyVerdict::kUnknown:
      return RoutingCode::kKeyUnknown;
    case KeyVerdict::kAdmitted:
      break;
  }
  return std::nullopt;
}

void CallIntake::FindUpstreams(OpenCall& call, const RouteTable& table) {
  const Rollout* rollout = table.RolloutOf(call.service);
  const bool runs =
      rollout != nullptr && rollout->stage == RolloutStage::kRunning;
  const bool braked =
      runs && rollouts_ != nullptr && rollouts_->Brakes(*rollout);
  VersionCandidates candidates = version_split_.Pick(
      table.UpstreamsOf(call.service), rollout, call.confirmed_ago, braked);
  call.upstreams = std::move(candidates.upstreams);
  call.other_upstreams = std::move(candidates.others);
  if (runs) call.rollout = {rollout->order, rollout->target_version};
}

}  // namespace hibiscusglade
