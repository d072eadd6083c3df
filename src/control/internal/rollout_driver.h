#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_ROLLOUT_DRIVER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_ROLLOUT_DRIVER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/internal/group_client.h"
#include "control/internal/peer_messenger.h"
#include "rollouts/rollout_reports.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Reports what this daemon sees of running rollouts to all replicas, so that
/// each leader has the counts of all daemons, and carries the rollouts out
/// while this replica leads. Does nothing while none runs. Used on the control
/// thread only.
class RolloutDriver {
 public:
  /// @param self identity of this daemon.
  /// @param tally nullptr: this daemon sees nothing.
  /// All but `self` must outlive this object.
  RolloutDriver(const PeerIdentity& self, const Clock& clock, Metrics& metrics,
                RolloutTally* tally, PeerMessenger& messenger,
                GroupClient& group_client)
      : self_(self),
        clock_(clock),
        metrics_(metrics),
        tally_(tally),
        messenger_(messenger),
        group_client_(group_client) {}

  /// @param addresses control addresses, to which reports are sent.
  void SetReplicas(std::vector<std::string> addresses) {
    replicas_ = std::move(addresses);
  }

  /// @param known rollouts in force here.
  void Report(const RolloutMap& known, Instant now);

  /// Handles another daemon's report, or this one's.
  /// @param message with a report.
  void OnReport(const wire::Envelope& message, Instant now);

  /// Takes the next steps; to be called while this replica leads the group.
  /// @param recorded rollouts as this replica has applied them.
  void Lead(const RolloutMap& recorded,
            const std::vector<InstanceRecord>& records, Instant now);

 private:
  struct Led {
    RolloutReports reports;
    RolloutController controller;
    bool submitted = false;  ///< The answer to a step is awaited.
  };

  void Submit(const Rollout& next);

  PeerIdentity self_;
  const Clock& clock_;
  Metrics& metrics_;
  RolloutTally* tally_;
  PeerMessenger& messenger_;
  GroupClient& group_client_;
  std::vector<std::string> replicas_;
  std::map<std::string, Led> led_;  ///< By service.
  Instant next_report_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_ROLLOUT_DRIVER_H_
