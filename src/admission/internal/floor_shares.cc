#include "admission/internal/floor_shares.h"

namespace hibiscusglade {
namespace {

/// What no class and no priority falls below, as a part of the share of
/// requests that all get.
constexpr double kFloor = 0.25;
/// Counts are halved once in this time: a shortage of a second shows, and the
/// last one is forgotten when a caller has tried again.
constexpr Duration kHalvingInterval = std::chrono::seconds(1);
constexpr Duration kForgottenAfter = std::chrono::seconds(8);
constexpr double kForgottenBelow = 0.5;
/// Fewer requests than this tell nothing of a share.
constexpr double kMinAsked = 4;

}  // namespace

void FloorShares::OnAsked(const std::string& request_class, uint32_t priority,
                          Instant now) {
  Age(now);
  ++counts_[request_class][priority].asked;
  ++all_.asked;
}

void FloorShares::OnStarted(const std::string& request_class,
                            uint32_t priority) {
  ++counts_[request_class][priority].started;
  ++all_.started;
}

bool FloorShares::IsBelowFloor(const std::string& request_class,
                               uint32_t priority) const {
  const auto of_class = counts_.find(request_class);
  if (of_class == counts_.end()) return false;
  const auto found = of_class->second.find(priority);
  if (found == of_class->second.end()) return false;
  const Counts& counts = found->second;
  if (counts.asked < kMinAsked) return false;
  return counts.started * all_.asked < kFloor * all_.started * counts.asked;
}

void FloorShares::Age(Instant now) {
  if (now < aged_at_ + kHalvingInterval) return;
  const bool long_ago = now >= aged_at_ + kForgottenAfter;
  aged_at_ = now;
  all_ = {};
  if (long_ago) counts_.clear();
  for (auto& [request_class, by_priority] : counts_) {
    std::erase_if(by_priority, [](const auto& item) {
      return item.second.asked < kForgottenBelow;
    });
    for (auto& [priority, counts] : by_priority) {
      counts = {counts.asked / 2, counts.started / 2};
      all_.asked += counts.asked;
      all_.started += counts.started;
    }
  }
  std::erase_if(counts_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace hibiscusglade
