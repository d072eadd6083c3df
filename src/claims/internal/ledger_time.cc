#include "claims/ledger_time.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hibiscusglade {
namespace {

constexpr size_t kMaxOwners = 15;

}  // namespace

LedgerTime::LedgerTime(std::deque<OwnerTime> owners, int64_t now)
    : owners_(std::move(owners)), now_(now) {}

void LedgerTime::Observe(const std::string& owner, int64_t time) {
  std::erase_if(owners_,
                [&](const OwnerTime& known) { return known.owner == owner; });
  owners_.push_back({owner, time});
  if (owners_.size() > kMaxOwners) owners_.pop_front();
  now_ = std::max(now_, Median());
}

int64_t LedgerTime::Median() const {
  std::vector<int64_t> times;
  for (const OwnerTime& owner : owners_) times.push_back(owner.time);
  auto middle =
      times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

}  // namespace hibiscusglade
