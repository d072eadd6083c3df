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

/// How far a call has come, as far as further attempts depend on it.
struct CallProgress {
  const RouteConfig& route;
  const std::string& service;
  uint32_t depth = 0;
  uint32_t attempts = 0;
  uint32_t owners_asked = 0;
  uint32_t max_owner_tries = 1;
  bool head_passed = false;
};

/// Verdict on one more attempt.
enum class AttemptVerdict {
  kAllowed,
  kAnswering,      ///< Part of an answer has gone to the caller.
  kNotRepeatable,  ///< It may have run, and may not run twice.
  kDepth,          ///< Only the uppermost call of a deep call retries.
  kAttempts,       ///< The route's attempts are used up.
  kBudget,         ///< The service's budget is spent.
};

/// @return whether an owner refused since it had no room; another one may
/// have.
bool IsForWantOfRoom(const std::error_code& code);

/// @return whether a refused attempt certainly ran at no upstream, so that it
/// does not count for the route's attempts.
bool HasRunNowhere(const Refusal& refusal);

/// @return name for a counter's label, such as "budget".
std::string_view AttemptVerdictName(AttemptVerdict verdict);

/// Decides on retries and hedges of one entry. Single-threaded.
class AttemptPolicy {
 public:
  /// A call came in.
  void OnCall(const std::string& service, const LimitsConfig& limits);

  /// The first byte of an answer came.
  void OnFirstByte(const std::string& route, Duration latency);

  /// Judges a retry after a refusal, and takes it from the budget.
  AttemptVerdict Retry(const CallProgress& call, const Refusal& refusal);

  /// Judges a hedge, and takes it from the budgets.
  /// @param waited since the first attempt was sent.
  AttemptVerdict Hedge(const CallProgress& call);

  /// @return wait for the first byte after which a call is hedged: the 95th
  /// percentile of its route; Duration::max() while too little is known.
  Duration HedgeDelay(const std::string& route) const;

 private:
  struct Budgets {
    RetryBudget retries{0};
    RetryBudget hedges{0};
  };
  struct FirstByte {
    double p95_micros = 0;
    uint32_t samples = 0;
  };

  std::map<std::string, Budgets> budgets_;
  std::map<std::string, FirstByte> first_bytes_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_ATTEMPT_POLICY_H_
