#include "routing/internal/ejection_judge.h"

#include <algorithm>
#include <set>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCompareInterval = milliseconds(50);
constexpr Duration kProbeInterval = milliseconds(100);
/// Many entries probe one upstream, so probes are a share of their traffic.
constexpr uint32_t kChoicesPerProbe = 100;
constexpr Duration kTimeLifetime = seconds(5);
constexpr Duration kReturnRamp = seconds(5);
constexpr Duration kLeastExcess = milliseconds(2);
constexpr double kEjectSlowness = 3.0;
constexpr double kReturnSlowness = 1.5;
constexpr double kReturnStart = 0.25;  ///< Share of the load at the return.
constexpr uint32_t kEjectFailures = 5;
constexpr size_t kLeastCompared = 2;
constexpr size_t kWhole = 100;  ///< Percent.
constexpr size_t kHalf = 50;    ///< Percent; rounds to the nearest.

}  // namespace

void EjectionJudge::OnServiceTime(const std::string& instance,
                                  const std::string& request_class,
                                  Duration service_time, Instant now) {
  if (service_time <= Duration{}) return;
  health_[instance].times[request_class] = {service_time, now};
}

void EjectionJudge::OnOutcome(const std::string& instance,
                              AttemptOutcome outcome, Instant) {
  Health& health = health_[instance];
  if (outcome == AttemptOutcome::kFailed) ++health.failures;
  if (outcome == AttemptOutcome::kAnswered) health.failures = 0;
}

void EjectionJudge::Compare(const std::string& service,
                            const std::vector<UpstreamTarget>& upstreams,
                            uint32_t max_percent, Instant now) {
  auto [last, is_new] = compared_.try_emplace(service, now);
  if (!is_new && now < last->second + kCompareInterval) return;
  last->second = now;
  MeasureSlowness(upstreams, now);
  size_t room = (upstreams.size() * max_percent + kHalf) / kWhole;
  std::vector<Health*> suspects;
  for (const UpstreamTarget& upstream : upstreams) {
    Health& health = health_[upstream.instance];
    const bool well =
        health.slowness < kReturnSlowness && health.failures < kEjectFailures;
    if (health.ejected && well) Return(health, now);
    if (health.ejected) room -= std::min<size_t>(room, 1);
    const bool ill =
        health.slowness >= kEjectSlowness || health.failures >= kEjectFailures;
    if (!health.ejected && ill) suspects.push_back(&health);
  }
  std::stable_sort(suspects.begin(), suspects.end(),
                   [](const Health* a, const Health* b) {
                     return a->slowness > b->slowness;
                   });
  for (Health* suspect : suspects) {
    if (room == 0) break;
    --room;
    Eject(*suspect, now);
  }
}

bool EjectionJudge::Ejected(const std::string& instance) const {
  auto found = health_.find(instance);
  return found != health_.end() && found->second.ejected;
}

Duration EjectionJudge::TimeOf(const std::string& instance,
                               const std::string& request_class,
                               Instant now) const {
  auto health = health_.find(instance);
  if (health == health_.end()) return {};
  auto seen = health->second.times.find(request_class);
  if (seen == health->second.times.end()) return {};
  return now < seen->second.at + kTimeLifetime ? seen->second.time : Duration{};
}

bool EjectionJudge::TakeProbe(const std::string& instance, Instant now) {
  Health& health = health_[instance];
  ++health.passed;
  if (health.passed < kChoicesPerProbe) return false;
  if (now < health.last_probe + kProbeInterval) return false;
  health.last_probe = now;
  health.passed = 0;
  return true;
}

double EjectionJudge::ShareOf(const std::string& instance, Instant now) const {
  auto found = health_.find(instance);
  if (found == health_.end() || found->second.returned == Instant{}) return 1;
  const Duration since = now - found->second.returned;
  if (since >= kReturnRamp) return 1;
  return kReturnStart + (1 - kReturnStart) *
                            static_cast<double>(since.count()) /
                            static_cast<double>(kReturnRamp.count());
}

void EjectionJudge::MeasureSlowness(
    const std::vector<UpstreamTarget>& upstreams, Instant now) {
  std::map<std::string, std::vector<Duration>> by_class;
  for (const UpstreamTarget& upstream : upstreams) {
    Health& health = health_[upstream.instance];
    // What an ejected upstream showed last holds until a probe shows better.
    if (!health.ejected) health.slowness = 1;
    for (const auto& [name, seen] : health.times) {
      if (now < seen.at + kTimeLifetime) by_class[name].push_back(seen.time);
    }
  }
  for (auto& [name, times] : by_class) {
    if (times.size() < kLeastCompared) continue;
    std::sort(times.begin(), times.end());
    const Duration usual = times[(times.size() - 1) / 2];
    for (const UpstreamTarget& upstream : upstreams) {
      Health& health = health_[upstream.instance];
      auto seen = health.times.find(name);
      if (seen == health.times.end()) continue;
      if (now >= seen->second.at + kTimeLifetime) continue;
      const bool much = seen->second.time > usual + kLeastExcess;
      const double slowness =
          much ? static_cast<double>(seen->second.time.count()) /
                     static_cast<double>(usual.count())
               : 1;
      health.slowness =
          health.ejected ? slowness : std::max(health.slowness, slowness);
    }
  }
}

void EjectionJudge::Eject(Health& health, Instant now) {
  health.ejected = true;
  health.last_probe = now;
  health.passed = 0;
  ++counts_.ejections;
}

void EjectionJudge::Return(Health& health, Instant now) {
  health.ejected = false;
  health.returned = now;
  ++counts_.returns;
}

}  // namespace hibiscusglade
