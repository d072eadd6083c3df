#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_HEARING_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_HEARING_H_

#include "base/clock.h"
#include "membership/membership.h"

namespace hibiscusglade {

/// When this daemon last heard from others: what tells a fault of theirs from
/// one of its own connections.
class Hearing {
 public:
  explicit Hearing(const MembershipConfig& config) : config_(config) {}

  /// A message of any instance arrived.
  void OnMessage(Instant now) { last_message_at_ = now; }

  /// An instance of the own domain sent a message, or a helper reached it.
  void OnOwnDomain(Instant now) { last_heard_own_domain_at_ = now; }

  bool HearsOwnDomain(Instant now) const {
    return now - last_heard_own_domain_at_ <= config_.probe_interval;
  }

  /// @param stands_in whether this daemon stands in as a relay.
  /// @return whether others may be suspected and declared dead: not while no
  /// messages arrive at all, nor while other domains are heard only because
  /// this daemon stands in as a relay. The fault is then most likely here.
  bool MayAccuse(bool stands_in, Instant now) const {
    return now - last_message_at_ <= config_.probe_interval &&
           (!stands_in || HearsOwnDomain(now));
  }

 private:
  const MembershipConfig& config_;
  Instant last_message_at_;
  Instant last_heard_own_domain_at_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_HEARING_H_
