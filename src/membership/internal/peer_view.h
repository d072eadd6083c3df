#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PEER_VIEW_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PEER_VIEW_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// The instances one daemon exchanges messages with. They are chosen from the
/// records alone, so that daemons with equal records agree on the relays.
struct PeerView {
  std::vector<std::string> own_domain_peers;
  /// Relays of each other failure domain; filled in at relays only.
  std::map<std::string, std::vector<std::string>> other_domain_relays;
  std::vector<std::string> own_domain_relays;
  bool is_relay = false;
  /// A relay only because others don't answer.
  bool stands_in = false;

  friend bool operator==(const PeerView&, const PeerView&) = default;
};

/// Chooses the peers of `self`. The instances of a failure domain form a ring,
/// ordered by the digests of their names. A daemon's peers are those 1, 2, 4, 8
/// and so on positions after it, so that an update reaches all n daemons of a
/// domain in log2(n) steps, and each daemon has log2(n) peers. The first two
/// instances on the ring are the domain's relays.
/// @param silent instances that don't answer `self`, which are left out of the
/// ring of its domain while anybody else is known. A daemon that all its peers
/// don't answer stands in as a relay.
PeerView MakePeerView(const std::vector<const InstanceRecord*>& records,
                      const InstanceRecord& self,
                      const std::set<std::string>& silent);

/// @return all peers in a view, those of the own domain first.
std::vector<std::string> AllPeers(const PeerView& view);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_PEER_VIEW_H_
