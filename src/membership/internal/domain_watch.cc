#include "membership/internal/domain_watch.h"

#include <algorithm>

namespace hibiscusglade {

std::vector<std::string> DomainWatch::SilentToRelay(Instant now) {
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
  return std::any_of(
      view_.own_domain_relays.begin(), view_.own_domain_relays.end(),
      [&](const std::string& relay) {
        const auto* stored = table_.Find(relay);
        return stored != nullptr &&
               !std::binary_search(stored->record.unreachable_domains.begin(),
                                   stored->record.unreachable_domains.end(),
                                   failure_domain);
      });
}

std::vector<std::string> DomainWatch::Unreachable() const {
  std::vector<std::string> domains;
  for (const auto& [domain, seen] : seen_at_) {
    if (!Reachable(domain)) domains.push_back(domain);
  }
  return domains;
}

}  // namespace hibiscusglade
