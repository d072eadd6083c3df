#include "versions/internal/leave_table.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

constexpr size_t kMaxInstances = 10000;
constexpr size_t kMaxLeavesOfInstance = 4;

bool IsSameIncarnation(const wire::UpstreamLeave& a,
                       const wire::UpstreamLeave& b) {
  return a.upstream() == b.upstream() && a.started_at_ms() == b.started_at_ms();
}

}  // namespace

void LeaveTable::Record(wire::UpstreamLeave leave) {
  std::deque<Recorded>& recorded = by_instance_[leave.instance()];
  const auto earlier = std::find_if(
      recorded.begin(), recorded.end(), [&leave](const Recorded& other) {
        return IsSameIncarnation(other.leave, leave);
      });
  if (earlier != recorded.end()) {
    leave.set_sequence(std::max(leave.sequence(), earlier->leave.sequence()));
    recorded.erase(earlier);
  }
  recorded.push_back({++last_position_, std::move(leave)});
  if (recorded.size() > kMaxLeavesOfInstance) recorded.pop_front();
  if (by_instance_.size() > kMaxInstances) DropOldestInstance();
}

std::vector<wire::UpstreamLeave> LeaveTable::Of(
    const std::string& instance) const {
  std::vector<wire::UpstreamLeave> leaves;
  const auto found = by_instance_.find(instance);
  if (found == by_instance_.end()) return leaves;
  for (const Recorded& recorded : found->second) {
    leaves.push_back(recorded.leave);
  }
  return leaves;
}

std::vector<wire::UpstreamLeave> LeaveTable::All() const {
  std::map<uint64_t, const wire::UpstreamLeave*> by_position;
  for (const auto& [instance, leaves] : by_instance_) {
    for (const Recorded& recorded : leaves) {
      by_position[recorded.position] = &recorded.leave;
    }
  }
  std::vector<wire::UpstreamLeave> all;
  for (const auto& [position, leave] : by_position) all.push_back(*leave);
  return all;
}

void LeaveTable::DropOldestInstance() {
  const auto oldest = std::min_element(by_instance_.begin(), by_instance_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.back().position <
                                                b.second.back().position;
                                       });
  by_instance_.erase(oldest);
}

}  // namespace hibiscusglade
