#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_ATTEMPT_POLICY_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_ATTEMPT_POLICY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "calls/types/call_types.h"
#include "routing/retry_budget.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// State of a call on which the decision about further attempts depends.
struct CallProgress {
  const RouteConfig& route;
  const std::string& service;
  uint32_t depth = 0;
  uint32_t attempts = 0;
  uint32_t owners_tried = 0;
  uint32_t max_owner_tries = 1;
  bool head_forwarded = false;
};

/// Decision about one more attempt, with the reason when it is not allowed.
enum class AttemptDecision {
  kAllowed,
  kAnswering,      ///< Part of an answer was forwarded to the caller.
  kNotRepeatable,  ///< It may have run and must not run twice.
  kDepth,          ///< Only the topmost call of a call chain retries.
  kAttempts,       ///< No attempt is left, or every owner would refuse.
  kBudget,         ///< The service's budget is exhausted.
};

/// @return whether an owner refused for lack of capacity; another one may have
/// some.
bool IsCapacityRefusal(const std::error_code& code);

/// @return whether a refused attempt certainly was not run by any upstream, so
/// that it does not count towards the route's attempt limit.
bool IsExemptFromAttemptLimit(const Refusal& refusal);

/// @return value for a metric label, such as "budget".
std::string_view AttemptDecisionName(AttemptDecision decision);

/// Decides on retries and hedges of one entry. Single-threaded.
class AttemptPolicy {
 public:
  /// Adds a new call to the budgets of its service.
  void OnCall(const std::string& service, const LimitsConfig& limits);

  /// Updates the latency percentile of a route.
  /// @param latency from sending an attempt to the head of its answer.
  void OnFirstByte(const std::string& route, Duration latency);

  /// Decides on a retry after a refusal and deducts it from the retry budget
  /// where that applies.
  AttemptDecision DecideRetry(const CallProgress& call, const Refusal& refusal);

  /// Decides on a hedge and deducts it from the hedge and the retry budgets.
  AttemptDecision DecideHedge(const CallProgress& call);

  /// @return wait for the first byte after which a call is hedged: the 95th
  /// percentile of its route; Duration::max() while there are too few samples.
  Duration HedgeDelay(const std::string& route) const;

 private:
  struct Budgets {
    RetryBudget retries{0};
    RetryBudget hedges{0};
  };
  struct FirstByteLatency {
    double p95_micros = 0;
    uint32_t samples = 0;
  };

  std::map<std::string, Budgets> budgets_;
  std::map<std::string, FirstByteLatency> first_byte_latencies_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_ATTEMPT_POLICY_H_
