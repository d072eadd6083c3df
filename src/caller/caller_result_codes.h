#ifndef HIBISCUSGLADE_CALLER_CALLER_RESULT_CODES_H_
#define HIBISCUSGLADE_CALLER_CALLER_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 7000 to 7999.
enum class CallerCode {
  kListenFailed = 7001,
  kBodyTooLarge = 7002,
  kMethodUnknown = 7003,
  kHeaderInvalid = 7004,
  kMalformed = 7005,
  kHeadTooLarge = 7006,
  kHeadTooSlow = 7007,
  kBodyMemoryFull = 7008,
};

const ResultCodeCategory& CallerCategory();
std::error_code make_error_code(CallerCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::CallerCode> : std::true_type {};

#endif  // HIBISCUSGLADE_CALLER_CALLER_RESULT_CODES_H_
