#include "rollouts/rollout_controller.h"

#include <algorithm>
#include <array>
#include <utility>

#include "rollouts/outcome_comparison.h"

namespace hibiscusglade {
namespace {

struct ShareStep {
  double begin;  ///< Fraction of the time from the canary's end to the closing.
  uint32_t permille;
};
constexpr uint32_t kCanaryPermille = 40;
constexpr uint32_t kAllPermille = 1000;
constexpr std::array<ShareStep, 4> kSteps = {
    {{0.0, 100}, {0.4, 250}, {0.65, 500}, {0.82, kAllPermille}}};
/// Fractions of the duration.
constexpr double kCanaryEnd = 0.45;
constexpr double kMinCanary = 0.2;
constexpr double kLatestCanaryEnd = 0.6;
constexpr double kRampLength = 0.25;
constexpr double kLatestClosing = 0.78;
constexpr double kLatestReady = 0.7;
constexpr double kMinStep = 0.02;

Rollout Following(const Rollout& recorded, std::string reason) {
  Rollout next = recorded;
  ++next.step;
  next.reason = std::move(reason);
  return next;
}

Rollout RolledBack(const Rollout& recorded, const std::string& reason) {
  Rollout next = Following(recorded, reason);
  next.stage = RolloutStage::kRolledBack;
  next.share_permille = 0;
  next.closes_others = false;
  next.replaced_versions.clear();
  return next;
}

OutcomeMap Since(const OutcomeMap& now, const OutcomeMap& earlier) {
  OutcomeMap since;
  for (const auto& [key, counts] : now) {
    const auto before = earlier.find(key);
    since[key] =
        before == earlier.end() ? counts : counts.Since(before->second);
  }
  return since;
}

/// @return the share after the recorded one, no step left out.
uint32_t ShareAfter(uint32_t permille) {
  if (permille < kCanaryPermille) return kCanaryPermille;
  for (const ShareStep& step : kSteps) {
    if (step.permille > permille) return step.permille;
  }
  return kAllPermille;
}

}  // namespace

std::optional<Rollout> RolloutController::Next(const RolloutView& view) {
  if (view.recorded.stage != RolloutStage::kRunning) return std::nullopt;
  OnRecorded(view);
  // Only within one step, as the target's share is the same in all its seconds:
  // a disturbance of all in the last steps would hit mostly the target's.
  if (auto why = WhyWorse(Since(view.counts, counts_at_step_))) {
    return RolledBack(view.recorded, *why);
  }
  if (!view.recorded.closes_others) return NextRunning(view);
  if (view.others_open > 0) return std::nullopt;
  Rollout completed = Following(view.recorded, "nothing runs at the others");
  completed.stage = RolloutStage::kCompleted;
  return completed;
}

void RolloutController::OnRecorded(const RolloutView& view) {
  if (view.recorded.order != order_) {
    order_ = view.recorded.order;
    ready_since_.reset();
    step_ = 0;
    step_began_ = view.since_order;
    counts_at_step_.clear();
  }
  if (view.recorded.step != step_) {
    step_ = view.recorded.step;
    step_began_ = view.since_order;
    counts_at_step_ = view.counts;
  }
  if (view.target_ready > 0 && !ready_since_) ready_since_ = view.since_order;
}

std::optional<Rollout> RolloutController::NextRunning(const RolloutView& view) {
  const Rollout& recorded = view.recorded;
  const auto duration = static_cast<double>(recorded.duration.count());
  const double time = static_cast<double>(view.since_order.count()) / duration;
  if (view.target_ready == 0) {
    if (time < kLatestReady) return std::nullopt;
    return RolledBack(recorded, "no upstream of the version serves");
  }
  const bool most_are_heard = view.daemons_heard * 2 > view.daemons;
  if (!most_are_heard) return std::nullopt;
  return Advance(view);
}

std::optional<Rollout> RolloutController::Advance(const RolloutView& view) {
  const Rollout& recorded = view.recorded;
  const auto duration = static_cast<double>(recorded.duration.count());
  const auto fraction = [duration](Duration time) {
    return static_cast<double>(time.count()) / duration;
  };
  const double time = fraction(view.since_order);
  const double canary_end =
      std::min(kLatestCanaryEnd,
               std::max(kCanaryEnd, fraction(*ready_since_) + kMinCanary));
  const double closing = std::min(kLatestClosing, canary_end + kRampLength);
  if (recorded.share_permille >= kAllPermille && time >= closing) {
    Rollout next = Following(recorded, "the others are closed");
    next.closes_others = true;
    next.replaced_versions = view.other_versions;
    return next;
  }
  const uint32_t share = ShareAfter(recorded.share_permille);
  if (share == recorded.share_permille) return std::nullopt;
  if (recorded.step > 0 && time < fraction(step_began_) + kMinStep) {
    return std::nullopt;
  }
  double due = 0;
  for (const ShareStep& step : kSteps) {
    if (step.permille == share) {
      due = canary_end + step.begin * (closing - canary_end);
    }
  }
  if (time < due) return std::nullopt;
  // Half of the room is enough for half of the requests.
  const bool has_room = view.target_slots * 2 >= view.others_slots;
  if (share > kAllPermille / 4 && !has_room && time < kLatestReady) {
    return std::nullopt;
  }
  Rollout next = Following(
      recorded, share == kCanaryPermille ? "its upstreams serve" : "no worse");
  next.share_permille = share;
  return next;
}

}  // namespace hibiscusglade
