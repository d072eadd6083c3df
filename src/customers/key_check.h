#ifndef HIBISCUSGLADE_CUSTOMERS_KEY_CHECK_H_
#define HIBISCUSGLADE_CUSTOMERS_KEY_CHECK_H_

#include <optional>

#include "calls/types/call_types.h"
#include "customers/customer_directory.h"

namespace hibiscusglade {

enum class KeyVerdict {
  kAdmitted,
  kMissing,  ///< The route needs a key, and the request has none.
  kUnknown,  ///< The route needs a key, and no customer holds this one.
};

/// Outcome of the check of a request's key.
struct KeyCheck {
  KeyVerdict verdict = KeyVerdict::kAdmitted;
  /// Whom the request is from, without the keys; nullopt when nobody holds its
  /// key, or keys are not required.
  std::optional<CustomerConfig> customer;

  friend bool operator==(const KeyCheck&, const KeyCheck&) = default;
};

/// Finds out which customer a request is from, and removes the key from it, so
/// that nothing behind the entry can pass it on. Answers callers that go on
/// with a revoked key, on kept connections too: each request is judged anew, by
/// the version in use when it begins, and nothing is remembered between two.
/// Where the configuration requires no keys, nothing is looked up, and the
/// fields that could hold one are ordinary fields again.
/// @param document of the version in use, as is `directory`.
/// @param request gets the customer's name.
KeyCheck CheckKey(const CustomerDirectory& directory,
                  const ConfigDocument& document, const RouteConfig& route,
                  CallRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CUSTOMERS_KEY_CHECK_H_
