#include "membership/internal/gossip_targets.h"

#include <utility>

namespace hibiscusglade {
namespace {

constexpr size_t kGossipFanout = 3;
/// One comparison in four goes to a seed.
constexpr uint64_t kComparisonsPerSeedComparison = 4;

}  // namespace

std::vector<std::string> GossipTargets::ForUpdates() {
  std::vector<std::string> candidates = view_.own_domain_peers;
  std::vector<std::string> targets;
  while (targets.size() < kGossipFanout && !candidates.empty()) {
    const size_t chosen = random_.Below(candidates.size());
    targets.push_back(Of(candidates[chosen]).address);
    candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(chosen));
  }
  if (targets.empty() && view_.other_domain_relays.empty()) {
    std::string seed = RandomSeed();
    if (!seed.empty()) targets.push_back(std::move(seed));
  }
  if (targets.empty() && !view_.other_domain_relays.empty()) {
    const auto& relays = view_.other_domain_relays.begin()->second;
    targets.push_back(Of(relays.front()).address);
  }
  return targets;
}

std::vector<std::string> GossipTargets::InOtherDomains() {
  std::vector<std::string> targets;
  for (const auto& [domain, relays] : view_.other_domain_relays) {
    targets.push_back(Of(OneOf(relays)).address);
  }
  return targets;
}

std::string GossipTargets::ForComparison() {
  std::vector<std::string> peers = AllPeers(view_);
  if (view_.stands_in && !view_.other_domain_relays.empty()) {
    const size_t own = view_.own_domain_peers.size();
    peers.erase(peers.begin(), peers.begin() + static_cast<ptrdiff_t>(own));
  }
  const bool to_seed =
      peers.empty() ||
      (!view_.stands_in && random_.Below(kComparisonsPerSeedComparison) == 0);
  if (to_seed) return RandomSeed();
  return Of(OneOf(peers)).address;
}

ProbeTarget GossipTargets::Of(const std::string& instance) const {
  return {instance, table_.Find(instance)->record.control_address};
}

std::string GossipTargets::RandomSeed() {
  std::vector<std::string> seeds = config_.seeds;
  std::erase(seeds, config_.self.control_address);
  return seeds.empty() ? "" : OneOf(seeds);
}

const std::string& GossipTargets::OneOf(const std::vector<std::string>& names) {
  return names[random_.Below(names.size())];
}

}  // namespace hibiscusglade
