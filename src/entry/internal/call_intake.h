#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_CALL_INTAKE_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_CALL_INTAKE_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "calls/stop_limit.h"
#include "entry/internal/caller_wait_estimator.h"
#include "entry/internal/open_call.h"
#include "rollouts/rollout_tally.h"
#include "routing/route_table_holder.h"
#include "routing/routing_result_codes.h"
#include "routing/share_picker.h"
#include "routing/version_split.h"

namespace hibiscusglade {

/// @return a refusal without a pause.
Refusal RefusalOf(RoutingCode code, Certainty certainty);

/// Decides what a new call is, before any owner is asked: which route it takes,
/// which service runs it, and until when; or why it is refused.
/// Single-threaded.
class CallIntake {
 public:
  /// @param routes must outlive this object, as must `stop_limit`.
  /// @param seed of the choice between a route's services.
  /// @param rollouts outcomes seen here; may be nullptr.
  CallIntake(const RouteTableHolder& routes, const StopLimit& stop_limit,
             uint64_t seed, const RolloutTally* rollouts)
      : routes_(routes),
        stop_limit_(stop_limit),
        rollouts_(rollouts),
        share_picker_(seed),
        version_split_(seed + 1) {}

  /// Fills in what the call needs of the version in use.
  /// @param call with its request and the time at which it began.
  /// @return why the call is refused as not run; nullopt when it is not.
  std::optional<Refusal> Open(OpenCall& call, Instant now);

  /// From now on refuses all calls.
  void Stop() { stopping_ = true; }

 private:
  std::optional<RoutingCode> FindRoute(OpenCall& call);
  void FindUpstreams(OpenCall& call, const RouteTable& table);

  const RouteTableHolder& routes_;
  const StopLimit& stop_limit_;
  const RolloutTally* rollouts_;
  CallerWaitEstimator wait_estimator_;
  SharePicker share_picker_;
  VersionSplit version_split_;
  bool stopping_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_CALL_INTAKE_H_
