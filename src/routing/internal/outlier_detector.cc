#include "routing/internal/outlier_detector.h"

#include <algorithm>
#include <set>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCompareInterval = milliseconds(50);
constexpr Duration kProbeInterval = milliseconds(100);
/// All entries probe an ejected upstream, so each of them uses at most one in
/// this many choices for a probe.
constexpr uint32_t kChoicesPerProbe = 100;
constexpr Duration kServiceTimeLifetime = seconds(5);
constexpr Duration kReinstatementRamp = seconds(5);
/// A service time must exceed the median by more than this to count as slow.
constexpr Duration kMinExcess = milliseconds(2);
constexpr double kEjectSlowness = 3.0;         ///< Multiple of the median.
constexpr double kReinstateSlowness = 1.5;     ///< Multiple of the median.
constexpr double kReinstatedLoadShare = 0.25;  ///< At the start of the ramp.
constexpr uint32_t kEjectFailures = 5;         ///< Consecutive.
/// Failures count for this long after the last one. Only upstreams of the own
/// failure domain are probed, so that nothing else reinstates the others.
constexpr Duration kFailureLifetime = seconds(10);
/// The median of fewer samples is that of one or two stragglers.
constexpr uint32_t kMinEjectSamples = 5;
constexpr size_t kMinCompared = 2;
constexpr size_t kPercentScale = 100;
constexpr size_t kPercentRounding = 50;  ///< To round to the nearest.

}  // namespace

void OutlierDetector::OnServiceTime(const std::string& instance,
                                    const std::string& request_class,
                                    Duration service_time, uint32_t samples,
                                    Instant now) {
  if (service_time <= Duration{}) return;
  health_[instance].times[request_class] = {service_time, samples, now};
}

void OutlierDetector::OnOutcome(const std::string& instance,
                                AttemptOutcome outcome, Instant now) {
  Health& health = health_[instance];
  if (outcome == AttemptOutcome::kFailed) {
    ExpireFailures(health, now);
    ++health.consecutive_failures;
    health.last_failure_at = now;
  }
  if (outcome == AttemptOutcome::kAnswered) health.consecutive_failures = 0;
}

void OutlierDetector::Compare(const std::string& service,
                              const std::vector<UpstreamTarget>& upstreams,
                              uint32_t max_percent, Instant now) {
  auto [last, is_new] = last_compared_.try_emplace(service, now);
  if (!is_new && now < last->second + kCompareInterval) return;
  last->second = now;
  MeasureSlowness(upstreams, now);
  size_t ejections_left =
      (upstreams.size() * max_percent + kPercentRounding) / kPercentScale;
  std::vector<Health*> outliers;
  for (const UpstreamTarget& upstream : upstreams) {
    Health& health = health_[upstream.instance];
    NoteIncarnation(health, upstream.incarnation, now);
    ExpireFailures(health, now);
    const bool healthy = health.slowness < kReinstateSlowness &&
                         health.consecutive_failures < kEjectFailures;
    if (health.ejected && healthy) Reinstate(health, now);
    if (health.ejected) ejections_left -= std::min<size_t>(ejections_left, 1);
    const bool unhealthy = health.slowness >= kEjectSlowness ||
                           health.consecutive_failures >= kEjectFailures;
    if (!health.ejected && unhealthy) outliers.push_back(&health);
  }
  std::stable_sort(outliers.begin(), outliers.end(),
                   [](const Health* a, const Health* b) {
                     return a->slowness > b->slowness;
                   });
  for (Health* outlier : outliers) {
    if (ejections_left == 0) break;
    --ejections_left;
    Eject(*outlier, now);
  }
}

bool OutlierDetector::Ejected(const std::string& instance) const {
  auto found = health_.find(instance);
  return found != health_.end() && found->second.ejected;
}

Duration OutlierDetector::ServiceTimeOf(const std::string& instance,
                                        const std::string& request_class,
                                        Instant now) const {
  auto health = health_.find(instance);
  if (health == health_.end()) return {};
  auto measured = health->second.times.find(request_class);
  if (measured == health->second.times.end()) return {};
  return now < measured->second.at + kServiceTimeLifetime
             ? measured->second.time
             : Duration{};
}

bool OutlierDetector::TryStartProbe(const std::string& instance, Instant now) {
  Health& health = health_[instance];
  ++health.choices_since_probe;
  if (health.choices_since_probe < kChoicesPerProbe) return false;
  if (now < health.last_probe_at + kProbeInterval) return false;
  health.last_probe_at = now;
  health.choices_since_probe = 0;
  return true;
}

double OutlierDetector::LoadShareOf(const std::string& instance,
                                    Instant now) const {
  auto found = health_.find(instance);
  if (found == health_.end() || found->second.reinstated_at == Instant{})
    return 1;
  const Duration since = now - found->second.reinstated_at;
  if (since >= kReinstatementRamp) return 1;
  return kReinstatedLoadShare +
         (1 - kReinstatedLoadShare) * static_cast<double>(since.count()) /
             static_cast<double>(kReinstatementRamp.count());
}

void OutlierDetector::MeasureSlowness(
    const std::vector<UpstreamTarget>& upstreams, Instant now) {
  std::map<std::string, std::vector<Duration>> by_class;
  for (const UpstreamTarget& upstream : upstreams) {
    Health& health = health_[upstream.instance];
    // An ejected upstream keeps its last slowness until a probe measures it
    // again.
    if (!health.ejected) health.slowness = 1;
    for (const auto& [name, measured] : health.times) {
      if (now < measured.at + kServiceTimeLifetime)
        by_class[name].push_back(measured.time);
    }
  }
  for (auto& [name, times] : by_class) {
    if (times.size() < kMinCompared) continue;
    std::sort(times.begin(), times.end());
    const Duration median = times[(times.size() - 1) / 2];
    for (const UpstreamTarget& upstream : upstreams) {
      Health& health = health_[upstream.instance];
      auto measured = health.times.find(name);
      if (measured == health.times.end()) continue;
      if (now >= measured->second.at + kServiceTimeLifetime) continue;
      const uint32_t samples = measured->second.samples;
      const bool few_samples = samples > 0 && samples < kMinEjectSamples;
      // Probes are rare, so a single one suffices for a reinstatement.
      if (few_samples && !health.ejected) continue;
      const bool exceeds_median = measured->second.time > median + kMinExcess;
      const double slowness =
          exceeds_median ? static_cast<double>(measured->second.time.count()) /
                               static_cast<double>(median.count())
                         : 1;
      health.slowness =
          health.ejected ? slowness : std::max(health.slowness, slowness);
    }
  }
}

void OutlierDetector::NoteIncarnation(Health& health, uint64_t incarnation,
                                      Instant now) {
  if (health.incarnation == incarnation) return;
  // An outcome may be known before the incarnation.
  const bool is_first = health.incarnation == 0;
  health.incarnation = incarnation;
  if (is_first) return;
  health.times.clear();
  health.consecutive_failures = 0;
  health.slowness = 1;
  if (health.ejected) Reinstate(health, now);
}

void OutlierDetector::ExpireFailures(Health& health, Instant now) {
  if (now < health.last_failure_at + kFailureLifetime) return;
  if (health.consecutive_failures < kEjectFailures) {
    health.consecutive_failures = 0;
    return;
  }
  // It may still fail: until it answers, the next failure ejects it again.
  health.consecutive_failures = kEjectFailures - 1;
  health.last_failure_at = now;
}

void OutlierDetector::Eject(Health& health, Instant now) {
  health.ejected = true;
  health.last_probe_at = now;
  health.choices_since_probe = 0;
  ++counts_.ejections;
}

void OutlierDetector::Reinstate(Health& health, Instant now) {
  health.ejected = false;
  health.reinstated_at = now;
  ++counts_.reinstatements;
}

}  // namespace hibiscusglade
