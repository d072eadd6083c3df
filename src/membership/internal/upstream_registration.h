#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPSTREAM_REGISTRATION_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPSTREAM_REGISTRATION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "membership/membership.h"
#include "membership/types/instance_record.h"
#include "membership/types/upstream_leave.h"

namespace hibiscusglade {

/// The upstream beside this daemon, while its lease runs, and what is
/// remembered of those that drain or have left, as their earlier announcements
/// may arrive seconds later.
class UpstreamRegistration {
 public:
  explicit UpstreamRegistration(const MembershipConfig& config);

  /// Handles an announcement, or ignores it when it is out of date or of
  /// another upstream than the one expected.
  /// @return whether anything changed that peers or the owner act on.
  bool Announce(const UpstreamAnnouncement& upstream, Instant now);

  /// As Membership::OnUpstreamDown().
  /// @return whether anything changed that peers or the owner act on.
  bool MarkDown(const std::string& id, int64_t started_at_ms);

  /// As Membership::OnUpstreamLeft().
  /// @return whether anything changed that peers or the owner act on.
  bool Leave(const std::string& id, int64_t started_at_ms, Instant now);

  /// Removes the upstream when its lease has expired. To be called at each
  /// tick.
  /// @return whether it was removed.
  bool Expire(Instant now);

  /// Continues from a record of this daemon's earlier process, which has
  /// acknowledged announcements that this one does not know.
  /// @return whether anything changed that peers or the owner act on.
  bool ContinueFrom(const InstanceRecord& earlier, Instant now);

  /// As Membership::OnLeavesRead().
  /// @return whether the upstream was removed.
  bool AdoptRecorded(std::vector<UpstreamLeave> leaves, Instant now);

  /// As Membership::WhyIgnored().
  std::optional<IgnoredReason> WhyIgnored(const UpstreamAnnouncement& upstream,
                                          Instant now) const;

  /// Writes the upstream, or what is remembered of the last one, into this
  /// daemon's record.
  void Describe(InstanceRecord& self) const;

  const std::optional<UpstreamAnnouncement>& Current() const {
    return upstream_;
  }

 private:
  struct Departed {
    std::string id;
    int64_t started_at_ms = 0;  ///< 0: unknown.
    /// Without a start time, a later announcement is of a new start from then.
    Instant lease_expires_at;
  };

  void Remember(Departed departed);
  /// Takes the leave of an upstream that is not registered here into this
  /// daemon's record, from which a later process learns of it.
  /// @return whether it is news.
  bool AdoptDeparted(const std::string& id, int64_t started_at_ms);

  /// Removes the upstream when its last announcement is out of date by what was
  /// learned since.
  bool RemoveIfStale(Instant now);

  bool IsRecordedLeave(const UpstreamAnnouncement& upstream) const;
  bool HasLeft(const UpstreamAnnouncement& upstream, Instant now) const;

  bool IsExpected(const UpstreamAnnouncement& upstream) const;

  Duration lease_;
  std::string expected_service_;
  std::string expected_address_;
  std::optional<UpstreamAnnouncement> upstream_;
  Instant lease_expires_at_;
  std::optional<Instant> checked_at_;  ///< Whether the lease had expired.
  /// Until then, an earlier start time means an earlier incarnation. Afterwards
  /// it means that the upstreams' clock was set back.
  Instant order_expires_at_;
  // Of the last announcement accepted.
  int64_t last_start_ms_ = 0;
  std::string last_id_;
  uint64_t last_sequence_ = 0;
  std::deque<Departed> departed_;  ///< Oldest first.
  /// Read from the replicas. Each is of one start exactly: the clock may have
  /// been set back since, and a later start under the same id must not be taken
  /// for it.
  std::vector<UpstreamLeave> recorded_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_UPSTREAM_REGISTRATION_H_
