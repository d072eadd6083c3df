#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_CALL_INTAKE_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_CALL_INTAKE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "calls/stop_limit.h"
#include "entry/internal/caller_wait_estimator.h"
#include "entry/internal/open_call.h"
#include "limits/customer_limits.h"
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
  /// @param routes must outlive this object, as must `limits` and
  /// `stop_limit`.
  /// @param seed of the choice between a route's services.
  /// @param rollouts outcomes seen here; may be nullptr.
  CallIntake(const RouteTableHolder& routes, CustomerLimits& limits,
             const StopLimit& stop_limit, uint64_t seed,
             const RolloutTally* rollouts)
      : routes_(routes),
        limits_(limits),
        stop_limit_(stop_limit),
        rollouts_(rollouts),
        share_picker_(seed),
        version_split_(seed + 1) {}

  /// Fills in what the call needs of the version in use.
  /// @param call with its request and the time at which it began.
  /// @return why the call is refused as not run; nullopt when it is not.
  std::optional<Refusal> Open(OpenCall& call, Instant now);

  /// An owner has reported whether calls like this one are made by upstreams.
  void OnLoad(OpenCall& call, const LoadReport& load);

  /// From now on refuses all calls.
  void Stop() { stopping_ = true; }

 private:
  std::optional<RoutingCode> FindRoute(OpenCall& call);
  void FindUpstreams(OpenCall& call, const RouteTable& table);

  /// Finds out whom the call is from.
  static std::optional<RoutingCode> FindCustomer(const RouteTable& table,
                                                 OpenCall& call);

  /// @return how long the caller has waited for this request before.
  Duration PriorWait(const OpenCall& call, Instant now);

  /// Counts a call towards its customer's limit.
  /// @return why it is refused; nullopt when it is not.
  std::optional<Refusal> Count(OpenCall& call, Instant now);

  const RouteTableHolder& routes_;
  CustomerLimits& limits_;
  const StopLimit& stop_limit_;
  const RolloutTally* rollouts_;
  CallerWaitEstimator wait_estimator_;
  SharePicker share_picker_;
  VersionSplit version_split_;
  /// Service and class of requests that upstreams make.
  std::set<std::pair<std::string, std::string>> begun_work_;
  bool stopping_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_CALL_INTAKE_H_
