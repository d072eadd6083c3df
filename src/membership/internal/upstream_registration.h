#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPSTREAM_REGISTRATION_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPSTREAM_REGISTRATION_H_

#include <deque>
#include <optional>
#include <string>

#include "membership/membership.h"

namespace hibiscusglade {

/// The upstream beside this daemon, as told by its announcements. Ignores
/// announcements that arrive late.
class UpstreamRegistration {
 public:
  explicit UpstreamRegistration(const MembershipConfig& config)
      : config_(config) {}

  /// @return whether peers must be told: the announcement was accepted and is
  /// not a mere renewal.
  bool OnAnnounce(const UpstreamAnnouncement& upstream, Instant now);

  /// Removes the upstream. See Membership::OnUpstreamLeft().
  /// @return whether it was removed.
  bool OnLeft(const std::string& id, int64_t started_at_ms);

  /// Continues from a record of this daemon's earlier process, which has
  /// acknowledged announcements that this one does not know.
  /// @return whether the record told anything new.
  bool ContinueFrom(const InstanceRecord& record);

  bool LeaseExpired(Instant now) const {
    return current_.has_value() && now >= lease_expires_at_;
  }

  /// Sets the fields about the upstream in this daemon's record.
  void Describe(InstanceRecord& self) const;

  const std::optional<UpstreamAnnouncement>& Current() const {
    return current_;
  }

 private:
  struct Departed {
    std::string id;
    int64_t started_at_ms = 0;
  };

  void Remember(Departed departed);
  bool HasLeft(const UpstreamAnnouncement& upstream) const;
  bool IsStale(const UpstreamAnnouncement& upstream) const;
  bool IsOfAnotherUpstream(const UpstreamAnnouncement& upstream) const;

  const MembershipConfig& config_;
  std::optional<UpstreamAnnouncement> current_;
  Instant lease_expires_at_;
  // Of the last announcement accepted.
  int64_t last_start_ms_ = 0;
  std::string last_id_;
  uint64_t last_sequence_ = 0;
  std::deque<Departed> departed_;  ///< Oldest first.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPSTREAM_REGISTRATION_H_
