#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PASSED_ON_RECORDS_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PASSED_ON_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "membership/internal/record_table.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Which records of earlier processes of daemons this daemon has passed on
/// towards their later processes. Each is passed on once, since all daemons of
/// a mesh may have it.
class PassedOnRecords {
 public:
  /// Notes that a record is passed on.
  /// @param incarnation of the later process.
  /// @return whether that process had not been sent it, nor a later state of
  /// the upstream.
  bool Add(const InstanceRecord& earlier, uint64_t incarnation) {
    const Entry entry{incarnation, earlier.upstream_started_at_ms,
                      earlier.upstream_sequence};
    auto [found, is_new] = by_instance_.try_emplace(earlier.instance, entry);
    if (is_new) return true;
    if (entry <= found->second) return false;
    found->second = entry;
    return true;
  }

  /// Forgets the instances that have no record in a table any more.
  void Retain(const RecordTable& table) {
    std::erase_if(by_instance_, [&](const auto& item) {
      return table.Find(item.first) == nullptr;
    });
  }

 private:
  /// Incarnation of the later process, start time and sequence of the upstream.
  using Entry = std::tuple<uint64_t, int64_t, uint64_t>;

  std::map<std::string, Entry> by_instance_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PASSED_ON_RECORDS_H_
