#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_LEAVE_RECORDER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_LEAVE_RECORDER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "consensus/replica.h"
#include "membership/types/upstream_leave.h"

namespace hibiscusglade {

/// Has leaves of the local upstream recorded by a majority of the replicas.
/// Only then may they be acknowledged: what daemons remember of them is gone
/// when all processes are killed at once, and an announcement from before may
/// still arrive afterwards.
///
/// An upstream that drains announces it again each second or two, so the leave
/// of an upstream incarnation is recorded once. Deterministic but for the
/// submitter; used on the control thread only.
class LeaveRecorder {
 public:
  /// @param recorded whether the leave may be acknowledged.
  using Done = std::function<void(bool recorded)>;
  /// Submits a command to the versions group.
  using Submitter =
      std::function<void(std::string command, ReplicaCallback done)>;

  /// @param instance this daemon's name, under which leaves are recorded.
  LeaveRecorder(std::string instance, Metrics& metrics, Submitter submitter);

  /// Records a leave unless it is recorded already, or being recorded.
  void Record(const UpstreamLeave& leave, Done done);

  /// Takes in the leaves that were recorded for earlier processes.
  void OnLeavesRead(const std::vector<UpstreamLeave>& leaves);

  /// Notes an announcement by which the upstream serves: a leave of the same
  /// incarnation from before it doesn't rule it out, so the next leave has to
  /// be recorded again.
  void OnServing(const UpstreamAnnouncement& upstream);

 private:
  struct PendingLeave {
    UpstreamLeave leave;
    std::vector<Done> waiting;
  };

  std::string Encode(const UpstreamLeave& leave) const;
  /// @return whether a leave rules out all announcements of its incarnation by
  /// which it served.
  bool IsInForce(const UpstreamLeave& leave) const;
  bool IsRecorded(const UpstreamLeave& leave) const;
  PendingLeave* FindPending(const UpstreamLeave& leave);
  void Finish(std::list<PendingLeave>::iterator pending,
              const ReplicaResult& result);
  void Remember(const UpstreamLeave& leave);

  std::string instance_;
  Submitter submitter_;
  Counter& unrecorded_;
  std::vector<UpstreamLeave> recorded_;  ///< Oldest first.
  std::list<PendingLeave> pending_;
  std::optional<UpstreamAnnouncement> last_serving_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_LEAVE_RECORDER_H_
