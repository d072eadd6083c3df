#ifndef HIBISCUSGLADE_ROLLOUTS_ROLLOUT_CONTROLLER_H_
#define HIBISCUSGLADE_ROLLOUTS_ROLLOUT_CONTROLLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollouts/rollout_tally.h"

namespace hibiscusglade {

/// What is known of one service's rollout at one time.
struct RolloutView {
  Rollout recorded;
  Duration since_order{};
  OutcomeMap counts;          ///< Of all daemons, since the order.
  uint32_t target_ready = 0;  ///< Upstreams of the target version.
  uint32_t target_slots = 0;  ///< Of those.
  uint32_t others_slots = 0;  ///< Of the other versions' upstreams.
  uint32_t others_open = 0;   ///< Owners that have not reported to be closed
                              ///< with nothing running.
  std::vector<std::string> other_versions;
  uint32_t daemons = 0;        ///< Neither dead nor gone.
  uint32_t daemons_heard = 0;  ///< Of those, in the last seconds.
};

/// Decides the next step of one service's rollout. Runs at the leader of the
/// log; the recorded state is all that a new leader needs to go on.
///
/// Load pattern: a version is bad at once, later, under load or on one route
/// only, and may get a twentieth of the requests until its time limit. So it
/// gets few for almost half of the time, and is taken on in short steps after
/// it, which leave a quarter of the time to close the others. Without traffic
/// the steps follow the time. While most daemons are silent, the share stays.
class RolloutController {
 public:
  /// @return the state to be recorded next; nullopt: the recorded one stays.
  std::optional<Rollout> Next(const RolloutView& view);

 private:
  void OnRecorded(const RolloutView& view);
  std::optional<Rollout> NextRunning(const RolloutView& view);
  std::optional<Rollout> Advance(const RolloutView& view);

  uint64_t order_ = 0;
  uint64_t step_ = 0;
  Duration step_began_{};  ///< Since the order.
  OutcomeMap counts_at_step_;
  std::optional<Duration> ready_since_;  ///< Of the first target upstream.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROLLOUTS_ROLLOUT_CONTROLLER_H_
