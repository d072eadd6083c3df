#include "admission/call_origins.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// A class is judged by as many requests as would have brought this many from
/// other services, had they come from where all others come.
constexpr double kMinMissed = 10;
/// Part of these that may come from other services: a caller's mistake does not
/// make calls of begun work into new work.
constexpr double kTolerated = 0.05;
constexpr uint32_t kJudgeEvery = 16;
/// Counts are halved after this many requests, so that a change of the
/// configuration shows.
constexpr uint32_t kHalveAfter = 1024;
constexpr double kForgottenBelow = 0.5;

}  // namespace

void CallOrigins::OnRequest(const std::string& request_class,
                            const std::string& origin) {
  Origins& origins = classes_[request_class];
  ++origins.counts[origin];
  ++origins.total;
  ++all_.counts[origin];
  ++all_.total;
  if (++since_judged_ >= kJudgeEvery) {
    since_judged_ = 0;
    JudgeAll();
  }
  if (++since_halved_ >= kHalveAfter) {
    since_halved_ = 0;
    Halve();
  }
}

bool CallOrigins::AreCalls(const std::string& request_class) const {
  return calls_.contains(request_class);
}

void CallOrigins::JudgeAll() {
  calls_.clear();
  for (const auto& [request_class, origins] : classes_) {
    if (ComeFromOneService(origins)) calls_.insert(request_class);
  }
}

bool CallOrigins::ComeFromOneService(const Origins& origins) const {
  const auto most = std::ranges::max_element(
      origins.counts, {}, [](const auto& item) { return item.second; });
  if (most == origins.counts.end() || most->first.empty()) return false;
  const double rest = all_.total - origins.total;
  if (rest < kMinMissed) return false;
  const double rest_from_most = all_.counts.at(most->first) - most->second;
  const double expected = origins.total * (1 - rest_from_most / rest);
  const double seen = origins.total - most->second;
  return expected >= kMinMissed && seen <= kTolerated * expected;
}

void CallOrigins::Halve() {
  all_ = {};
  for (auto& [request_class, origins] : classes_) {
    origins.total = 0;
    for (auto& [origin, count] : origins.counts) {
      count /= 2;
      origins.total += count;
      all_.counts[origin] += count;
      all_.total += count;
    }
  }
  std::erase_if(classes_, [this](const auto& item) {
    if (item.second.total >= kForgottenBelow) return false;
    for (const auto& [origin, count] : item.second.counts) {
      all_.counts[origin] -= count;
    }
    all_.total -= item.second.total;
    return true;
  });
}

}  // namespace hibiscusglade
