#include "membership/internal/peer_view.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

constexpr size_t kRelaysPerDomain = 2;

using Ring = std::vector<std::pair<Digest, std::string>>;

std::vector<std::string> RelaysOf(const Ring& ring) {
  std::vector<std::string> relays;
  for (size_t i = 0; i < std::min(kRelaysPerDomain, ring.size()); ++i) {
    relays.push_back(ring[i].second);
  }
  return relays;
}

std::vector<std::string> Successors(const Ring& ring, const std::string& self) {
  std::vector<std::string> peers;
  const auto own_entry =
      std::find_if(ring.begin(), ring.end(),
                   [&](const auto& p) { return p.second == self; });
  const auto own_index = static_cast<size_t>(own_entry - ring.begin());
  for (size_t distance = 1; distance < ring.size(); distance *= 2) {
    peers.push_back(ring[(own_index + distance) % ring.size()].second);
  }
  return peers;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

PeerView MakePeerView(const std::vector<const InstanceRecord*>& records,
                      const InstanceRecord& self,
                      const std::set<std::string>& silent) {
  std::map<std::string, Ring> rings;
  for (const InstanceRecord* record : records) {
    if (record->state > InstanceState::kSuspected &&
        record->instance != self.instance) {
      continue;
    }
    rings[record->failure_domain].emplace_back(DigestOf(record->instance),
                                               record->instance);
  }
  for (auto& [domain, ring] : rings) std::sort(ring.begin(), ring.end());
  Ring& own = rings[self.failure_domain];
  const std::vector<std::string> all_peers = Successors(own, self.instance);
  const bool relay_of_all = Contains(RelaysOf(own), self.instance);
  const bool nobody_answers =
      !all_peers.empty() &&
      std::all_of(all_peers.begin(), all_peers.end(),
                  [&](const auto& peer) { return silent.contains(peer); });
  std::erase_if(own, [&](const auto& p) { return silent.contains(p.second); });
  PeerView view;
  view.own_domain_peers = Successors(own, self.instance);
  if (view.own_domain_peers.empty() && rings.size() == 1 && !silent.empty()) {
    return MakePeerView(records, self, {});
  }
  view.own_domain_relays = RelaysOf(own);
  if (nobody_answers) view.own_domain_relays = {self.instance};
  view.is_relay = Contains(view.own_domain_relays, self.instance);
  view.stands_in = view.is_relay && !relay_of_all;
  if (!view.is_relay) return view;
  for (const auto& [domain, ring] : rings) {
    if (domain != self.failure_domain) {
      view.other_domain_relays[domain] = RelaysOf(ring);
    }
  }
  return view;
}

std::vector<std::string> AllPeers(const PeerView& view) {
  std::vector<std::string> peers = view.own_domain_peers;
  for (const auto& [domain, relays] : view.other_domain_relays) {
    peers.insert(peers.end(), relays.begin(), relays.end());
  }
  return peers;
}

}  // namespace hibiscusglade
