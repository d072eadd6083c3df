#ifndef HIBISCUSGLADE_PLATFORM_PLATFORM_RESULT_CODES_H_
#define HIBISCUSGLADE_PLATFORM_PLATFORM_RESULT_CODES_H_

#include "platform/result_code.h"

namespace hibiscusglade {

/// Result codes 1000 to 1999.
enum class PlatformCode {
  kSettingsUnreadable = 1001,
  kSettingsInvalid = 1002,
  kFileUnreadable = 1003,
  kFileUnwritable = 1004,
  kSyncFailed = 1005,
  kFileDamaged = 1006,
};

const ResultCodeCategory& PlatformCategory();
std::error_code make_error_code(PlatformCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::PlatformCode> : std::true_type {};

#endif  // HIBISCUSGLADE_PLATFORM_PLATFORM_RESULT_CODES_H_
