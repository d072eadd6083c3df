#include "upstream/upstream_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {8001, "unknown-resource", "the announcements' API has no such resource",
     404, Certainty::kNotApplicable, "Check method and path."},
    {8002, "malformed-announcement", "the announcement has faults", 400,
     Certainty::kNotApplicable, "Correct every reported fault."},
    {8003, "not-in-effect",
     "the announcement is not in effect yet, or the leave is not recorded", 503,
     Certainty::kNotApplicable,
     "Send it again. When it persists: check the daemon's load and "
     "control_turn_seconds; for a leave, leaves_unrecorded_total."},
};

}  // namespace

const ResultCodeCategory& UpstreamCategory() {
  static const ResultCodeCategory category("upstream", kCodes);
  return category;
}

std::error_code make_error_code(UpstreamCode code) {
  return {static_cast<int>(code), UpstreamCategory()};
}

}  // namespace hibiscusglade
