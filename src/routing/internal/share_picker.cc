#include "routing/share_picker.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

/// Rounds are as long as the sum of the weights; a place within so many steps
/// is random enough for longer ones.
constexpr uint64_t kMostSteps = 1000;

int64_t SumOf(const std::vector<RouteShare>& shares) {
  int64_t sum = 0;
  for (const RouteShare& share : shares) sum += share.weight;
  return sum;
}

}  // namespace

const std::string& SharePicker::ServiceOf(const RouteConfig& route) {
  if (route.shares.empty()) return route.service;
  auto [found, is_new] = routes_.try_emplace(route.name);
  Saved& saved = found->second;
  if (is_new || saved.shares != route.shares) saved = Begin(route.shares);
  return route.shares[Next(saved)].service;
}

size_t SharePicker::Next(Saved& saved) {
  size_t best = 0;
  for (size_t i = 0; i < saved.shares.size(); ++i) {
    saved.credits[i] += saved.shares[i].weight;
    if (saved.credits[i] > saved.credits[best]) best = i;
  }
  saved.credits[best] -= SumOf(saved.shares);
  return best;
}

SharePicker::Saved SharePicker::Begin(const std::vector<RouteShare>& shares) {
  Saved saved{shares, std::vector<int64_t>(shares.size(), 0)};
  const auto steps =
      random_.Below(std::min(static_cast<uint64_t>(SumOf(shares)), kMostSteps));
  for (uint64_t i = 0; i < steps; ++i) Next(saved);
  return saved;
}

}  // namespace hibiscusglade
