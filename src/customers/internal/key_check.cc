#include "customers/key_check.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace hibiscusglade {
namespace {

/// Makes the fields that could hold a key ordinary ones.
void KeepKeyFields(CallRequest& request) {
  std::ranges::move(std::exchange(request.key_fields, {}),
                    std::back_inserter(request.headers));
}

}  // namespace

KeyCheck CheckKey(const CustomerDirectory& directory,
                  const ConfigDocument& document, const RouteConfig& route,
                  CallRequest& request) {
  const std::string key = std::exchange(request.access_key, {});
  request.customer.clear();
  if (!document.keys_required) {
    KeepKeyFields(request);
    return {};
  }
  request.key_fields.clear();
  if (const CustomerConfig* holder = directory.FindByKey(key)) {
    request.customer = holder->name;
    return {KeyVerdict::kAdmitted, CustomerConfig{holder->name,
                                                  {},
                                                  holder->priority,
                                                  holder->rate_per_s,
                                                  holder->burst}};
  }
  if (route.open) return {};
  return {key.empty() ? KeyVerdict::kMissing : KeyVerdict::kUnknown, {}};
}

}  // namespace hibiscusglade
