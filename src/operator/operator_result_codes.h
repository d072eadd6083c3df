#ifndef HIBISCUSGLADE_OPERATOR_OPERATOR_RESULT_CODES_H_
#define HIBISCUSGLADE_OPERATOR_OPERATOR_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 9500 to 9599.
enum class OperatorCode {
  kUnknownResource = 9501,
  kMalformedRequest = 9502,
  kUnreachable = 9503,
  kWatchTimeout = 9504,
  kInternalTimeout = 9505,
  kMethodUnknown = 9506,
};

const ResultCodeCategory& OperatorCategory();
std::error_code make_error_code(OperatorCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::OperatorCode> : std::true_type {};

#endif  // HIBISCUSGLADE_OPERATOR_OPERATOR_RESULT_CODES_H_
