#ifndef HIBISCUSGLADE_UPSTREAM_UPSTREAM_RESULT_CODES_H_
#define HIBISCUSGLADE_UPSTREAM_UPSTREAM_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 8000 to 8999.
enum class UpstreamCode {
  kUnknownResource = 8001,
  kMalformedAnnouncement = 8002,
  kNotInEffect = 8003,
};

const ResultCodeCategory& UpstreamCategory();
std::error_code make_error_code(UpstreamCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::UpstreamCode> : std::true_type {};

#endif  // HIBISCUSGLADE_UPSTREAM_UPSTREAM_RESULT_CODES_H_
