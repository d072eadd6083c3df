#include "rollouts/rollout_tally.h"

#include <algorithm>
#include <bit>

namespace hibiscusglade {
namespace {

constexpr int64_t kFirstClassEndMs = 4;
/// An upstream is cold after its start; its first answers are slow.
constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr uint64_t kMinBrakeFailures = 5;

}  // namespace

size_t LatencyClassOf(Duration latency) {
  const int64_t ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(latency).count();
  if (ms < kFirstClassEndMs) return 0;
  const auto doublings = static_cast<size_t>(
      std::bit_width(static_cast<uint64_t>(ms / kFirstClassEndMs)));
  return std::min(doublings, kLatencyClasses - 1);
}

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other) {
  requests += other.requests;
  failures += other.failures;
  for (size_t i = 0; i < kLatencyClasses; ++i) {
    latencies[i] += other.latencies[i];
  }
  return *this;
}

OutcomeCounts OutcomeCounts::Since(const OutcomeCounts& earlier) const {
  OutcomeCounts since;
  const auto rise = [](uint64_t now, uint64_t before) {
    return now - std::min(now, before);
  };
  since.requests = rise(requests, earlier.requests);
  since.failures = rise(failures, earlier.failures);
  for (size_t i = 0; i < kLatencyClasses; ++i) {
    since.latencies[i] = rise(latencies[i], earlier.latencies[i]);
  }
  return since;
}

void RolloutTally::OnEnded(const RolloutOutcome& outcome, Instant now) {
  OutcomeCounts one;
  one.requests = 1;
  one.failures = outcome.failed ? 1 : 0;
  const std::lock_guard lock(mutex_);
  Service& service = services_[outcome.service];
  if (outcome.order < service.order) return;
  if (outcome.order > service.order) {
    service = Service{};
    service.order = outcome.order;
  }
  bool warm = true;
  if (outcome.target) {
    const Instant first =
        service.first_ended.try_emplace(outcome.instance, now).first->second;
    warm = now - first >= kWarmUp;
  }
  if (warm && !outcome.failed) {
    one.latencies[LatencyClassOf(outcome.latency)] = 1;
  }
  const OutcomeKey key{outcome.route, outcome.target,
                       outcome.target ? outcome.instance : ""};
  service.counts[key] += one;
  (outcome.target ? service.target : service.others) += one;
}

bool RolloutTally::Brakes(const Rollout& rollout) const {
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(rollout.service);
  if (found == services_.end() || found->second.order != rollout.order) {
    return false;
  }
  Service& service = found->second;
  if (rollout.step != service.step) {
    service.step = rollout.step;
    service.target = {};
    service.others = {};
  }
  const OutcomeCounts& target = service.target;
  const OutcomeCounts& others = service.others;
  const bool fails = target.failures >= kMinBrakeFailures &&
                     target.failures * 4 >= target.requests;
  return fails && others.failures * target.requests * 2 <
                      target.failures * std::max<uint64_t>(1, others.requests);
}

OutcomeMap RolloutTally::CountsOf(const std::string& service,
                                  uint64_t order) const {
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.order != order) return {};
  return found->second.counts;
}

void RolloutTally::SetLocalRuns(const LocalRuns& runs) {
  const std::lock_guard lock(mutex_);
  local_ = runs;
}

LocalRuns RolloutTally::Local() const {
  const std::lock_guard lock(mutex_);
  return local_;
}

}  // namespace hibiscusglade
