#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_UPSTREAM_ANNOUNCEMENTS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_UPSTREAM_ANNOUNCEMENTS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/internal/announcement_reporter.h"
#include "control/internal/leave_recorder.h"
#include "membership/membership.h"

namespace hibiscusglade {

/// Passes what the local upstream announces to the membership, and has its
/// leaves recorded by the replicas. Used on the control thread only.
class UpstreamAnnouncements {
 public:
  using EffectsListener = std::function<void(const MembershipEffects&)>;

  /// @param submitter submits commands to the versions group.
  /// @param listener carries out the effects.
  UpstreamAnnouncements(const std::string& instance, const Clock& clock,
                        Metrics& metrics, LeaveRecorder::Submitter submitter,
                        EffectsListener listener);

  /// Must be called before the other methods.
  /// @param membership must outlive this object.
  void Start(Membership& membership) { membership_ = &membership; }

  /// @param posted_at when the announcement was queued for this thread.
  /// @param done called with whether it may be acknowledged once it is in
  /// effect.
  void OnAnnounce(const UpstreamAnnouncement& upstream, Instant posted_at,
                  LeaveRecorder::Done done);

  /// @param done as for OnAnnounce().
  void OnDeregister(const std::string& id, int64_t started_at_ms,
                    LeaveRecorder::Done done);

  /// @param posted_at when the report was queued for this thread.
  void OnReportedDown(const UpstreamAnnouncement& upstream, Instant posted_at);

  /// From now on, this daemon's upstream drains whatever it announces.
  void DrainLocalUpstream();

  /// Takes in the leaves that the replicas have recorded for this daemon.
  void OnLeavesRead(const std::vector<UpstreamLeave>& leaves);

 private:
  /// @return why the announcement was ignored; nullopt when it was not.
  std::optional<IgnoredReason> Handle(const UpstreamAnnouncement& upstream,
                                      Instant posted_at);

  /// Has a leave recorded before it is acknowledged; without one, there is
  /// nothing to wait for.
  void Record(const std::optional<UpstreamLeave>& leave,
              LeaveRecorder::Done done);

  const Clock& clock_;
  AnnouncementReporter reporter_;
  LeaveRecorder leave_recorder_;
  EffectsListener listener_;
  Membership* membership_ = nullptr;
  bool draining_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_UPSTREAM_ANNOUNCEMENTS_H_
