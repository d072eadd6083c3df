#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_

#include <map>
#include <string>

#include "membership/internal/record_table.h"
#include "membership/membership.h"

namespace hibiscusglade {

/// The instances whose changed records have still to be gossiped.
class UpdateQueue {
 public:
  /// The records of one round of gossip.
  struct Round {
    GossipMessage own_domain;
    GossipMessage other_domains;
  };

  void Add(const std::string& instance);
  bool Empty() const { return rounds_.empty(); }

  /// Takes the records of one round, at most a message of them. A record stays
  /// queued for a few rounds; relays pass those of their own domain to others
  /// in the first one.
  Round Take(const RecordTable& table, const std::string& own_domain);

 private:
  /// Remaining rounds of each instance.
  std::map<std::string, size_t> rounds_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_
