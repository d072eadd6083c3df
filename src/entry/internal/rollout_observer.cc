#include "entry/internal/rollout_observer.h"

namespace hibiscusglade {
namespace {

constexpr uint32_t kFirstFailedStatus = 500;

}  // namespace

void RolloutObserver::OnEnded(const OpenCall& call, const OpenAttempt& attempt,
                              AttemptOutcome outcome, Instant now) {
  if (tally_ == nullptr || call.rollout.order == 0) return;
  if (outcome == AttemptOutcome::kRefusedNotRun) return;
  // Cancelled in time, it tells nothing of the upstream.
  const bool late = now >= call.deadline;
  if (outcome == AttemptOutcome::kCancelled && !late) return;
  RolloutOutcome ended;
  ended.service = call.service;
  ended.order = call.rollout.order;
  ended.route = call.route->name;
  ended.target = attempt.version == call.rollout.target_version;
  ended.instance = attempt.instance;
  ended.failed = outcome != AttemptOutcome::kAnswered ||
                 attempt.status >= kFirstFailedStatus;
  ended.latency = now - attempt.sent;
  tally_->OnEnded(ended, now);
}

}  // namespace hibiscusglade
