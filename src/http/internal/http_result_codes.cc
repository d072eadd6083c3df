#include "http/http_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {9601, "listen-failed", "an HTTP address can't be listened on", 500,
     Certainty::kNotApplicable, "Check the address and that it is free."},
    {9602, "body-too-large", "the request's body is too large", 413,
     Certainty::kNotApplicable, "Send a smaller patch."},
    {9603, "handler-failed", "the request could not be answered", 500,
     Certainty::kNotApplicable, "Report the failure with the daemon's log."},
};

}  // namespace

const ResultCodeCategory& HttpCategory() {
  static const ResultCodeCategory category("http", kCodes);
  return category;
}

std::error_code make_error_code(HttpCode code) {
  return {static_cast<int>(code), HttpCategory()};
}

}  // namespace hibiscusglade
