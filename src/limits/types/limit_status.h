#ifndef HIBISCUSGLADE_LIMITS_TYPES_LIMIT_STATUS_H_
#define HIBISCUSGLADE_LIMITS_TYPES_LIMIT_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"

namespace hibiscusglade {

/// What one daemon knows of a customer's limit in its failure domain.
struct LimitStatus {
  bool limited = false;  ///< Whether the customer has a limit.
  uint32_t rate_per_s = 0;
  uint32_t burst = 0;
  double domain_rate = 0;      ///< Share of this failure domain, per second.
  double domain_capacity = 0;  ///< Requests that it may let pass at once.
  uint64_t used_here = 0;      ///< By this daemon in the last 5 s.
  bool tight = false;          ///< Whether credit is needed to pass.
  std::string coordinator;     ///< Instance; empty: none is known.
  /// Age of its last word; absent: it gave none lately.
  std::optional<Duration> contact_age;
  // Known to the coordinator only.
  std::optional<double> level;  ///< Requests left in the domain's bucket.
  uint64_t used_in_domain = 0;  ///< In the last 5 s.
  uint64_t outstanding = 0;     ///< Credit given to daemons and not used yet.
  uint32_t daemons_heard = 0;
  uint32_t daemons = 0;  ///< Of the failure domain.

  friend bool operator==(const LimitStatus&, const LimitStatus&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_TYPES_LIMIT_STATUS_H_
