#ifndef HIBISCUSGLADE_ROLLOUTS_ROLLOUT_REPORTS_H_
#define HIBISCUSGLADE_ROLLOUTS_ROLLOUT_REPORTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/types/instance_record.h"
#include "rollouts/rollout_controller.h"

namespace hibiscusglade {

/// What one daemon reports about a running rollout.
struct RolloutReport {
  std::string service;
  uint64_t order = 0;
  uint64_t step = 0;  ///< In force at the sender.
  OutcomeMap counts;  ///< Since the order.
  LocalRuns local;    ///< Of the upstream beside the sender.

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;
};

/// The last reports of all daemons about the rollout of one service.
class RolloutReports {
 public:
  /// @param incarnation of the sender; a restarted one counts from zero.
  void Add(const std::string& sender, uint64_t incarnation,
           const RolloutReport& report, Instant now);

  /// @param records all instances known.
  /// @param since_order time since the order.
  RolloutView ViewOf(const Rollout& recorded,
                     const std::vector<InstanceRecord>& records,
                     Duration since_order, Instant now) const;

 private:
  struct Sender {
    uint64_t incarnation = 0;
    RolloutReport last;
    Instant heard_at;
  };

  bool IsClosedAndIdle(const Rollout& recorded,
                       const InstanceRecord& record) const;
  void CountUpstream(const Rollout& recorded, const InstanceRecord& record,
                     RolloutView& view) const;

  uint64_t order_ = 0;
  std::map<std::string, Sender> senders_;
  OutcomeMap ended_;  ///< Counts of senders' earlier processes.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROLLOUTS_ROLLOUT_REPORTS_H_
