#ifndef HIBISCUSGLADE_BASE_RESULT_CODES_H_
#define HIBISCUSGLADE_BASE_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 1000 to 1999.
enum class BaseCode {
  kSettingsUnreadable = 1001,
  kSettingsInvalid = 1002,
  kFileUnreadable = 1003,
  kFileUnwritable = 1004,
  kSyncFailed = 1005,
  kFileDamaged = 1006,
};

const ResultCodeCategory& BaseCategory();
std::error_code make_error_code(BaseCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::BaseCode> : std::true_type {};

#endif  // HIBISCUSGLADE_BASE_RESULT_CODES_H_
