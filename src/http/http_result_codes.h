#ifndef HIBISCUSGLADE_HTTP_HTTP_RESULT_CODES_H_
#define HIBISCUSGLADE_HTTP_HTTP_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 9600 to 9699.
enum class HttpCode {
  kListenFailed = 9601,
  kBodyTooLarge = 9602,
  kHandlerFailed = 9603,
};

const ResultCodeCategory& HttpCategory();
std::error_code make_error_code(HttpCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::HttpCode> : std::true_type {};

#endif  // HIBISCUSGLADE_HTTP_HTTP_RESULT_CODES_H_
