#include "membership/internal/update_queue.h"

namespace hibiscusglade {
namespace {

constexpr size_t kRoundsPerUpdate = 3;
constexpr size_t kMaxRecordsPerMessage = 100;

}  // namespace

void UpdateQueue::Add(const std::string& instance) {
  rounds_[instance] = kRoundsPerUpdate;
}

UpdateQueue::Round UpdateQueue::Take(const RecordTable& table,
                                     const std::string& own_domain) {
  Round round;
  for (bool urgent : {true, false}) {
    for (const auto& [instance, rounds] : rounds_) {
      const auto* stored = table.Find(instance);
      if (stored == nullptr || IsUrgent(stored->record) != urgent ||
          round.own_domain.records.size() >= kMaxRecordsPerMessage) {
        continue;
      }
      round.own_domain.records.push_back(stored->record);
      if (stored->record.failure_domain == own_domain &&
          rounds == kRoundsPerUpdate) {
        round.other_domains.records.push_back(stored->record);
      }
    }
  }
  for (const InstanceRecord& sent : round.own_domain.records) {
    auto found = rounds_.find(sent.instance);
    if (--found->second == 0) rounds_.erase(found);
  }
  std::erase_if(rounds_, [&table](const auto& item) {
    return table.Find(item.first) == nullptr;
  });
  return round;
}

}  // namespace hibiscusglade
