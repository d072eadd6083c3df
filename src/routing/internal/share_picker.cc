#include "routing/share_picker.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

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
  size_t best = 0;
  for (size_t i = 0; i < saved.shares.size(); ++i) {
    saved.credits[i] += saved.shares[i].weight;
    if (saved.credits[i] > saved.credits[best]) best = i;
  }
  saved.credits[best] -= SumOf(saved.shares);
  return route.shares[best].service;
}

SharePicker::Saved SharePicker::Begin(const std::vector<RouteShare>& shares) {
  Saved saved{shares, std::vector<int64_t>(shares.size(), 0)};
  const int64_t sum = SumOf(shares);
  // A random share has more saved than the others, as in the midst of a round.
  const auto start =
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(sum)));
  int64_t passed = 0;
  for (size_t i = 0; i < shares.size(); ++i) {
    passed += shares[i].weight;
    if (start >= passed) continue;
    saved.credits[i] += sum / 2;
    break;
  }
  return saved;
}

}  // namespace hibiscusglade
