#include "membership/internal/domain_watch.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

/// Time after which a relay's finding has reached the others of its domain.
constexpr Duration kTimeToTell = std::chrono::seconds(2);

}  // namespace

std::vector<std::string> DomainWatch::SilentToRelay(Instant now) {
  ObserveRelays(now);
  if (view_.is_relay && !was_relay_) {
    // Restart the timeouts: a daemon that is no relay does not probe other
    // domains, so the times are out of date.
    for (auto& [domain, seen] : seen_at_) seen = now;
  }
  was_relay_ = view_.is_relay;
  std::vector<std::string> silent;
  for (const auto& [domain, relays] : view_.other_domain_relays) {
    const auto [seen, added] = seen_at_.emplace(domain, now);
    if (now - seen->second > config_.domain_timeout) silent.push_back(domain);
  }
  return silent;
}

std::vector<std::string> DomainWatch::TakeExpired(Instant now) {
  std::vector<std::string> expired;
  if (now < next_expiry_) return expired;
  next_expiry_ = now + config_.probe_interval;
  for (auto seen = seen_at_.begin(); seen != seen_at_.end();) {
    const std::string& domain = seen->first;
    if (Reachable(domain)) {
      unreachable_since_.erase(domain);
      ++seen;
      continue;
    }
    const Instant since = unreachable_since_.emplace(domain, now).first->second;
    if (now - since <= config_.retention) {
      ++seen;
      continue;
    }
    expired.push_back(domain);
    unreachable_since_.erase(domain);
    seen = seen_at_.erase(seen);
  }
  return expired;
}

bool DomainWatch::Reachable(const std::string& failure_domain) const {
  if (failure_domain == config_.self.failure_domain) return true;
  if (!seen_at_.contains(failure_domain)) return false;
  std::vector<const InstanceRecord*> relays;
  std::vector<const InstanceRecord*> informed;
  for (const std::string& relay : view_.own_domain_relays) {
    const auto* stored = table_.Find(relay);
    if (stored == nullptr) continue;
    relays.push_back(&stored->record);
    if (IsInformed(stored->record)) informed.push_back(&stored->record);
  }
  if (!informed.empty()) relays = std::move(informed);
  return std::any_of(
      relays.begin(), relays.end(), [&](const InstanceRecord* relay) {
        return !std::binary_search(relay->unreachable_domains.begin(),
                                   relay->unreachable_domains.end(),
                                   failure_domain);
      });
}

bool DomainWatch::TakeChanged() {
  std::vector<std::string> unreachable = Unreachable();
  if (unreachable == last_unreachable_) return false;
  last_unreachable_ = std::move(unreachable);
  return true;
}

// The relay itself may have become one later than it did here: only when its
// predecessor was declared dead.
bool DomainWatch::IsInformed(const InstanceRecord& relay) const {
  const auto since = relay_since_.find(relay.instance);
  return relay.state == InstanceState::kAlive && since != relay_since_.end() &&
         observed_at_ - since->second >
             config_.suspicion_timeout + config_.domain_timeout + kTimeToTell;
}

void DomainWatch::ObserveRelays(Instant now) {
  observed_at_ = now;
  const std::vector<std::string>& relays = view_.own_domain_relays;
  std::erase_if(relay_since_, [&](const auto& item) {
    return std::find(relays.begin(), relays.end(), item.first) == relays.end();
  });
  for (const std::string& relay : relays) relay_since_.emplace(relay, now);
}

std::vector<std::string> DomainWatch::Unreachable() const {
  std::vector<std::string> domains;
  for (const auto& [domain, seen] : seen_at_) {
    if (!Reachable(domain)) domains.push_back(domain);
  }
  return domains;
}

}  // namespace hibiscusglade
