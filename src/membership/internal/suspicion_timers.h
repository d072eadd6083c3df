#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_SUSPICION_TIMERS_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_SUSPICION_TIMERS_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "membership/internal/record_table.h"
#include "membership/membership.h"

namespace hibiscusglade {

/// Since when instances are suspected.
class SuspicionTimers {
 public:
  /// @param record stored in the table at `now`.
  void OnRecord(const InstanceRecord& record, Instant now) {
    if (record.state == InstanceState::kSuspected) {
      suspected_since_.emplace(record.instance, now);
    } else {
      suspected_since_.erase(record.instance);
    }
  }

  /// @return instances that have been suspected for longer than `timeout`.
  std::vector<std::string> Expired(Instant now, Duration timeout) const {
    std::vector<std::string> expired;
    for (const auto& [instance, since] : suspected_since_) {
      if (now - since > timeout) expired.push_back(instance);
    }
    return expired;
  }

  /// Forgets the instances that are not in the table.
  void Retain(const RecordTable& table) {
    std::erase_if(suspected_since_, [&table](const auto& item) {
      return table.Find(item.first) == nullptr;
    });
  }

 private:
  std::map<std::string, Instant> suspected_since_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_SUSPICION_TIMERS_H_
