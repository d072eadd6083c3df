#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_ROLLOUT_DRIVER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_ROLLOUT_DRIVER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "consensus/replica.h"
#include "rollouts/rollout_reports.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Reports what this daemon sees of running rollouts to all replicas, so that
/// each leader has the counts of all daemons, and carries the rollouts out
/// while this replica leads. Does nothing while none runs. Used on the control
/// thread only.
class RolloutDriver {
 public:
  /// Sends a message to the control addresses of all replicas.
  using Sender = std::function<void(wire::Envelope& message)>;
  /// Submits a command to the versions group.
  using Submitter =
      std::function<void(std::string command, ReplicaCallback done)>;

  /// @param tally nullptr: this daemon sees nothing. Must outlive this object.
  RolloutDriver(const Clock& clock, Metrics& metrics, RolloutTally* tally,
                Sender sender, Submitter submitter)
      : clock_(clock),
        metrics_(metrics),
        tally_(tally),
        sender_(std::move(sender)),
        submitter_(std::move(submitter)) {}

  /// @param known rollouts in force here.
  void Report(const RolloutMap& known, Instant now);

  /// Handles another daemon's report, or this one's.
  void OnReport(const std::string& from, uint64_t incarnation,
                const wire::RolloutReport& report, Instant now);

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

  const Clock& clock_;
  Metrics& metrics_;
  RolloutTally* tally_;
  Sender sender_;
  Submitter submitter_;
  std::map<std::string, Led> led_;  ///< By service.
  Instant next_report_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_ROLLOUT_DRIVER_H_
