#include "routing/share_picker.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

/// A round has as many steps as the sum of the weights; in longer rounds a
/// start within this many steps is random enough.
constexpr uint64_t kMaxInitialSteps = 1000;

int64_t WeightSum(const std::vector<RouteShare>& shares) {
  int64_t sum = 0;
  for (const RouteShare& share : shares) sum += share.weight;
  return sum;
}

}  // namespace

const std::string& SharePicker::PickService(const RouteConfig& route) {
  if (route.shares.empty()) return route.service;
  auto [found, is_new] = rounds_.try_emplace(route.name);
  RoundState& round = found->second;
  if (is_new || round.shares != route.shares)
    round = StartAtRandomPosition(route.shares);
  return route.shares[PickNext(round)].service;
}

size_t SharePicker::PickNext(RoundState& round) {
  size_t best = 0;
  for (size_t i = 0; i < round.shares.size(); ++i) {
    round.credits[i] += round.shares[i].weight;
    if (round.credits[i] > round.credits[best]) best = i;
  }
  round.credits[best] -= WeightSum(round.shares);
  return best;
}

SharePicker::RoundState SharePicker::StartAtRandomPosition(
    const std::vector<RouteShare>& shares) {
  RoundState round{shares, std::vector<int64_t>(shares.size(), 0)};
  const auto steps = random_.Below(
      std::min(static_cast<uint64_t>(WeightSum(shares)), kMaxInitialSteps));
  for (uint64_t i = 0; i < steps; ++i) PickNext(round);
  return round;
}

}  // namespace hibiscusglade
