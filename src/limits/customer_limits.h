#ifndef HIBISCUSGLADE_LIMITS_CUSTOMER_LIMITS_H_
#define HIBISCUSGLADE_LIMITS_CUSTOMER_LIMITS_H_

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "peer/request_part.h"
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
  virtual void GiveBack(const std::string& customer, Instant now) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_CUSTOMER_LIMITS_H_
