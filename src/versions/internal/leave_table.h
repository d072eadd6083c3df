#ifndef HIBISCUSGLADE_VERSIONS_INTERNAL_LEAVE_TABLE_H_
#define HIBISCUSGLADE_VERSIONS_INTERNAL_LEAVE_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "wire/storage.pb.h"

namespace hibiscusglade {

/// The last leaves of upstreams beside each instance. Part of the replicated
/// state: equal records in equal order make equal tables.
///
/// Bounded, as most upstream incarnations never come back: an instance replaces
/// its upstream a few times a day, while late announcements arrive within
/// seconds.
class LeaveTable {
 public:
  /// Adds a leave, or raises the sequence of an earlier one of the same
  /// upstream incarnation.
  void Record(wire::UpstreamLeave leave);

  /// @return the leaves recorded for an instance, oldest first.
  std::vector<wire::UpstreamLeave> Of(const std::string& instance) const;

  /// @return all leaves in the order in which they were recorded.
  std::vector<wire::UpstreamLeave> All() const;

 private:
  struct Recorded {
    uint64_t position = 0;  ///< In the order of all records.
    wire::UpstreamLeave leave;
  };

  void DropOldestInstance();

  std::map<std::string, std::deque<Recorded>> by_instance_;
  uint64_t last_position_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_INTERNAL_LEAVE_TABLE_H_
