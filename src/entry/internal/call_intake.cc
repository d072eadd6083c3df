#include "entry/internal/call_intake.h"

#include <utility>

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
  const Duration prior_wait = wait_estimator_.EstimatePriorWait(
      call.route->name, call.request.timeout, call.route->timeout, now);
  call.objective = now + call.route->objective - prior_wait;
  return std::nullopt;
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
  call.limits = table->Document().limits;
  call.service = share_picker_.PickService(*route);
  FindUpstreams(call, *table);
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
