#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_DOMAIN_WATCH_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_DOMAIN_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "membership/internal/peer_view.h"
#include "membership/internal/record_table.h"
#include "membership/membership.h"

namespace hibiscusglade {

/// Which failure domains are reached from this daemon's own one. Its relays
/// probe the others, and list those that don't answer in their records.
class DomainWatch {
 public:
  /// @param table and `view` of the same daemon; read at each call.
  DomainWatch(const MembershipConfig& config, const RecordTable& table,
              const PeerView& view)
      : config_(config), table_(table), view_(view) {}

  /// Called when a record of the failure domain is stored.
  void OnRecord(const std::string& failure_domain, Instant now) {
    seen_at_.emplace(failure_domain, now);
  }

  /// Called when an instance of the failure domain has answered a probe.
  void OnAnswer(const std::string& failure_domain, Instant now) {
    seen_at_[failure_domain] = now;
  }

  /// @return the domains that don't answer this daemon's own probes; none
  /// unless it is a relay.
  std::vector<std::string> SilentToRelay(Instant now);

  /// @return domains that have been unreachable for so long that they are
  /// forgotten. Returned once.
  std::vector<std::string> TakeExpired(Instant now);

  /// @return whether an informed relay doesn't list the domain; while none is
  /// informed, any relay.
  bool Reachable(const std::string& failure_domain) const;

  /// @return the known domains that aren't reachable.
  std::vector<std::string> Unreachable() const;

  /// @return whether Unreachable() differs from that at the last call.
  bool TakeChanged();

 private:
  /// @return whether the relay is alive and has been one for long enough to
  /// have listed a domain that doesn't answer it.
  bool IsInformed(const InstanceRecord& relay) const;
  void ObserveRelays(Instant now);

  const MembershipConfig& config_;
  const RecordTable& table_;
  const PeerView& view_;
  std::map<std::string, Instant> seen_at_;
  std::map<std::string, Instant> unreachable_since_;
  Instant next_expiry_;
  bool was_relay_ = false;
  std::map<std::string, Instant> relay_since_;  ///< Of the own domain.
  Instant observed_at_;
  std::vector<std::string> last_unreachable_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_DOMAIN_WATCH_H_
