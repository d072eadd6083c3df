#include "operator/operator_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {9501, "unknown-resource", "the operators' API has no such resource", 404,
     Certainty::kNotApplicable, "Check method and path."},
    {9502, "malformed-request", "the request can't be read", 400,
     Certainty::kNotApplicable,
     "Correct the fields or parameters that the answer names."},
    {9503, "unreachable", "the daemon's operators' API does not answer", 503,
     Certainty::kNotApplicable,
     "Check address and port, and that the daemon runs."},
    {9504, "watch-timeout", "the version is not in force everywhere yet", 504,
     Certainty::kNotApplicable, "Check the lagging daemons."},
    {9505, "internal-timeout", "the daemon's control loop did not answer", 503,
     Certainty::kNotApplicable, "Check the daemon's log and its load."},
    {9506, "method-unknown", "the operators' API has no such method", 405,
     Certainty::kNotApplicable, "Use GET or POST."},
};

}  // namespace

const ResultCodeCategory& OperatorCategory() {
  static const ResultCodeCategory category("operator", kCodes);
  return category;
}

std::error_code make_error_code(OperatorCode code) {
  return {static_cast<int>(code), OperatorCategory()};
}

}  // namespace hibiscusglade
