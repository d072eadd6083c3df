#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_ROLLOUT_OBSERVER_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_ROLLOUT_OBSERVER_H_

#include "entry/internal/call_table.h"
#include "rollouts/rollout_tally.h"
#include "routing/upstream_chooser.h"

namespace hibiscusglade {

/// Counts how attempts at a service end while a rollout of it runs.
class RolloutObserver {
 public:
  /// @param tally gets the outcomes; nullptr: nobody does. Must outlive this
  /// object.
  explicit RolloutObserver(RolloutTally* tally) : tally_(tally) {}

  void OnEnded(const OpenCall& call, const OpenAttempt& attempt,
               AttemptOutcome outcome, Instant now);

 private:
  RolloutTally* tally_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_ROLLOUT_OBSERVER_H_
