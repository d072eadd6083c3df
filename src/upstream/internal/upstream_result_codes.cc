#include "upstream/upstream_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {8001, "unknown-resource", "the announcements' API has no such resource",
     404, Certainty::kNotApplicable, "Check method and path."},
    {8002, "malformed-announcement", "the announcement has faults", 400,
     Certainty::kNotApplicable, "Correct every reported fault."},
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
