#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PEER_VIEW_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PEER_VIEW_H_

#include <map>
#include <string>
#include <vector>

#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// The peers one daemon exchanges messages with, chosen from the records
/// alone, so that daemons with equal records agree on the relays.
struct PeerView {
  std::vector<std::string> own_domain;  ///< Instances.
  /// Relays of each other failure domain; filled in at relays only.
  std::map<std::string, std::vector<std::string>> other_domains;
  std::vector<std::string> own_relays;
  bool relay = false;

  friend bool operator==(const PeerView&, const PeerView&) = default;
};

/// Instances of a failure domain stand on a ring in the order of their names'
/// digests. A daemon's peers are those 1, 2, 4, 8, ... places after it, so that
/// news pass a domain of n daemons in log2(n) steps over as many connections.
/// The first two on the ring are the domain's relays.
PeerView ViewOf(const std::vector<const InstanceRecord*>& records,
                const InstanceRecord& self);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PEER_VIEW_H_
