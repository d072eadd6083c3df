#include "rollouts/outcome_comparison.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>

namespace hibiscusglade {
namespace {

/// Standard deviations of the difference between two equal versions.
constexpr double kMinDeviations = 4.5;
constexpr uint64_t kMinBad = 6;
/// Without requests to the others, the version is judged by itself.
constexpr uint64_t kMinBadAlone = 10;
constexpr double kMinShareAlone = 0.25;
constexpr double kMinFailureExcess = 0.03;
constexpr double kMinSlowExcess = 0.08;
constexpr size_t kMinInstancesToLeaveOneOut = 3;
/// Slow answers are this many classes, each twice as long as the one before,
/// above the class that holds most answers of the others.
constexpr size_t kSlowClasses = 2;
constexpr double kMostAnswers = 0.8;
constexpr uint64_t kMinAnswers = 20;

/// Bad ones of some requests.
struct Ratio {
  uint64_t bad = 0;
  uint64_t all = 0;
  double Share() const {
    return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
  }
  Ratio operator+(const Ratio& b) const { return {bad + b.bad, all + b.all}; }
};

/// Counts of the target version by instance, and of the others.
struct Sides {
  std::map<std::string, OutcomeCounts> target;
  OutcomeCounts others;
};

using Measure = std::function<Ratio(const OutcomeCounts&)>;

bool IsMoreOften(const Ratio& target, const Ratio& others, double min_excess) {
  if (target.bad < kMinBad) return false;
  if (others.all < kMinAnswers) {
    return target.bad >= kMinBadAlone && target.Share() >= kMinShareAlone &&
           others.bad * 4 <= others.all;
  }
  const double excess = target.Share() - others.Share();
  if (excess < min_excess) return false;
  const double share = (target + others).Share();
  const double variance = share * (1 - share) *
                          (1 / static_cast<double>(target.all) +
                           1 / static_cast<double>(others.all));
  return excess >= kMinDeviations * std::sqrt(variance);
}

/// @return the sum over the target's instances without the worst one, if there
/// are several.
Ratio RatioOf(const std::map<std::string, OutcomeCounts>& target,
              const Measure& measure) {
  Ratio sum;
  Ratio worst;
  for (const auto& [instance, counts] : target) {
    const Ratio ratio = measure(counts);
    sum = sum + ratio;
    if (ratio.bad > worst.bad) worst = ratio;
  }
  if (target.size() < kMinInstancesToLeaveOneOut) return sum;
  return {sum.bad - worst.bad, sum.all - worst.all};
}

std::string Describe(const std::string& what, const Ratio& target,
                     const Ratio& others) {
  return what + " " + std::to_string(target.bad) + " of " +
         std::to_string(target.all) + " against " + std::to_string(others.bad) +
         " of " + std::to_string(others.all);
}

std::optional<std::string> WhyMoreOften(const Sides& sides,
                                        const std::string& what,
                                        const Measure& measure,
                                        double min_excess) {
  const Ratio target = RatioOf(sides.target, measure);
  const Ratio others = measure(sides.others);
  if (!IsMoreOften(target, others, min_excess)) return std::nullopt;
  return Describe(what, target, others);
}

uint64_t Answers(const OutcomeCounts& counts) {
  return std::accumulate(counts.latencies.begin(), counts.latencies.end(),
                         uint64_t{0});
}

/// @return the class up to which most answers of the others are.
size_t UsualClass(const OutcomeCounts& others) {
  const double most = kMostAnswers * static_cast<double>(Answers(others));
  uint64_t sum = 0;
  for (size_t i = 0; i < kLatencyClasses; ++i) {
    sum += others.latencies[i];
    if (static_cast<double>(sum) >= most) return i;
  }
  return kLatencyClasses - 1;
}

std::optional<std::string> WhySideWorse(const Sides& sides) {
  auto why = WhyMoreOften(
      sides, "failed",
      [](const OutcomeCounts& counts) {
        return Ratio{counts.failures, counts.requests};
      },
      kMinFailureExcess);
  if (why || Answers(sides.others) < kMinAnswers) return why;
  const size_t first_slow = UsualClass(sides.others) + kSlowClasses;
  return WhyMoreOften(
      sides, "slow",
      [first_slow](const OutcomeCounts& counts) {
        Ratio ratio{0, Answers(counts)};
        for (size_t i = first_slow; i < kLatencyClasses; ++i) {
          ratio.bad += counts.latencies[i];
        }
        return ratio;
      },
      kMinSlowExcess);
}

}  // namespace

std::optional<std::string> WhyWorse(const OutcomeMap& counts) {
  std::map<std::string, Sides> by_route;
  Sides all;
  for (const auto& [key, outcome] : counts) {
    for (Sides* sides : {&by_route[key.route], &all}) {
      (key.target ? sides->target[key.instance] : sides->others) += outcome;
    }
  }
  for (const auto& [route, sides] : by_route) {
    if (auto why = WhySideWorse(sides)) return "route " + route + ": " + *why;
  }
  // Routes take different times, so that only failures can be added up.
  all.others.latencies = {};
  return WhySideWorse(all);
}

}  // namespace hibiscusglade
