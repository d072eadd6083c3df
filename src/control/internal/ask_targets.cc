#include "control/internal/ask_targets.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {

AskTargets::AskTargets(std::string own_address, std::string own_domain,
                       Refresh refresh)
    : own_address_(std::move(own_address)),
      own_domain_(std::move(own_domain)),
      refresh_(std::move(refresh)) {}

void AskTargets::SetInstances(const std::vector<InstanceRecord>& records,
                              const std::vector<std::string>& relays,
                              const std::vector<std::string>& seeds) {
  addresses_.clear();
  for (const InstanceRecord& record : records) {
    const std::string& address = record.control_address;
    if (record.state == InstanceState::kLeft) continue;
    if (record.replica) Add(AskScope::kReplicas, address);
    if (record.state == InstanceState::kDead) continue;
    if (record.failure_domain != own_domain_) {
      if (!record.replica) Add(AskScope::kOtherDomains, address);
      continue;
    }
    Add(AskScope::kOwnDomain, address);
    const bool relay = std::find(relays.begin(), relays.end(),
                                 record.instance) != relays.end();
    if (relay) Add(AskScope::kOwnRelays, address);
  }
  for (const std::string& seed : seeds) {
    Add(AskScope::kReplicas, seed);
  }
  ForgetRemoved();
}

std::string AskTargets::Next(AskScope scope) {
  if (std::exchange(outdated_, false)) refresh_(*this);
  // Least recently asked first.
  const auto order = [this](const Addresses::value_type& candidate) {
    const auto found = last_turns_.find(candidate.first);
    return std::pair(found == last_turns_.end() ? 0 : found->second,
                     candidate.second);
  };
  const Addresses& candidates = addresses_[scope];
  const auto next = std::min_element(
      candidates.begin(), candidates.end(),
      [&order](const auto& a, const auto& b) { return order(a) < order(b); });
  if (next == candidates.end()) return "";
  last_turns_[next->first] = ++turn_;
  return next->first;
}

void AskTargets::Add(AskScope scope, const std::string& address) {
  if (address == own_address_) return;
  addresses_[scope].emplace(address, DigestOf(own_address_ + address));
}

void AskTargets::ForgetRemoved() {
  std::erase_if(last_turns_, [this](const auto& item) {
    return std::none_of(addresses_.begin(), addresses_.end(),
                        [&item](const auto& scope) {
                          return scope.second.contains(item.first);
                        });
  });
}

}  // namespace hibiscusglade
