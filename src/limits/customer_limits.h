#ifndef HIBISCUSGLADE_LIMITS_CUSTOMER_LIMITS_H_
#define HIBISCUSGLADE_LIMITS_CUSTOMER_LIMITS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "limits/types/limit_status.h"
#include "peer/peer_transport.h"
#include "peer/request_part.h"
#include "routing/route_table_holder.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Decides at one daemon which requests of a customer lie within its limit,
/// which holds for all daemons together. Single-threaded.
class CustomerLimits : public RequestPart {
 public:
  /// Counts a request that is to be sent to an owner.
  /// @return nullopt when it lies within the limit, or there is none; otherwise
  /// the time until there will be room for it.
  virtual std::optional<Duration> Take(const CustomerConfig& customer,
                                       Instant now) = 0;

  /// A counted request was not run by any upstream.
  /// @param taken_at when it was counted.
  virtual void GiveBack(const std::string& customer, Instant taken_at,
                        Instant now) = 0;

  /// @return what this daemon knows of a customer's limit.
  virtual LimitStatus StatusOf(const std::string& customer) = 0;
};

struct CustomerLimitsConfig {
  PeerIdentity identity;
  std::string request_address;  ///< Of this daemon, as others know it.
  /// Of the deployment; each holds an equal share of all limits. Empty: those
  /// of the instances that this daemon knows.
  std::vector<std::string> failure_domains;
};

/// Dependencies; all must outlive the limits.
struct CustomerLimitsParts {
  PeerTransport& transport;
  const RouteTableHolder& routes;
  const Clock& clock;
  Metrics& metrics;
};

std::unique_ptr<CustomerLimits> MakeCustomerLimits(
    const CustomerLimitsConfig& config, const CustomerLimitsParts& parts);

/// @return limits that let everything pass and send nothing.
CustomerLimits& NoCustomerLimits();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_CUSTOMER_LIMITS_H_
