#include "admission/internal/slot_shares.h"

#include <algorithm>
#include <vector>

namespace hibiscusglade {
namespace {

constexpr uint32_t kHundredPercent = 100;

std::vector<const ClassConfig*> ByPriority(
    const std::map<std::string, ClassConfig>& classes) {
  std::vector<const ClassConfig*> ordered;
  for (const auto& [name, config] : classes) ordered.push_back(&config);
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const ClassConfig* a, const ClassConfig* b) {
                     return a->priority > b->priority;
                   });
  return ordered;
}

}  // namespace

void SlotShares::Divide(uint32_t slots,
                        const std::map<std::string, ClassConfig>& classes) {
  slots_ = slots;
  shares_.clear();
  uint32_t reservable = slots == 0 ? 0 : slots - 1;
  for (const auto& [name, config] : classes) {
    shares_[name].limit =
        std::max<uint32_t>(1, slots * config.max_percent / kHundredPercent);
  }
  for (const ClassConfig* config : ByPriority(classes)) {
    if (config->reserved_percent == 0) continue;
    const uint32_t requested = std::max<uint32_t>(
        1, slots * config->reserved_percent / kHundredPercent);
    SlotShare& share = shares_[config->name];
    share.reserved = std::min({requested, reservable, share.limit});
    reservable -= share.reserved;
  }
}

bool SlotShares::MayRun(const std::string& request_class) const {
  if (running_ >= slots_) return false;
  const SlotShare share = ShareOf(request_class);
  const uint32_t running_in_class = RunningOf(request_class);
  if (running_in_class >= share.limit) return false;
  if (running_in_class < share.reserved) return true;
  return slots_ - running_ > ReservedForOthers(request_class);
}

void SlotShares::OnStarted(const std::string& request_class) {
  ++running_;
  ++running_by_class_[request_class];
}

void SlotShares::OnEnded(const std::string& request_class) {
  --running_;
  auto found = running_by_class_.find(request_class);
  if (--found->second == 0) running_by_class_.erase(found);
}

uint32_t SlotShares::RunningOf(const std::string& request_class) const {
  auto found = running_by_class_.find(request_class);
  return found == running_by_class_.end() ? 0 : found->second;
}

SlotShare SlotShares::ShareOf(const std::string& request_class) const {
  auto found = shares_.find(request_class);
  return found == shares_.end() ? SlotShare{0, slots_} : found->second;
}

uint32_t SlotShares::ReservedForOthers(const std::string& request_class) const {
  uint32_t reserved = 0;
  for (const auto& [name, share] : shares_) {
    if (name == request_class) continue;
    const uint32_t used = RunningOf(name);
    reserved += share.reserved > used ? share.reserved - used : 0;
  }
  return reserved;
}

}  // namespace hibiscusglade
