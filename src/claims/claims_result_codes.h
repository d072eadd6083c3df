#ifndef HIBISCUSGLADE_CLAIMS_CLAIMS_RESULT_CODES_H_
#define HIBISCUSGLADE_CLAIMS_CLAIMS_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 6000 to 6999.
enum class ClaimsCode {
  kMissingKey = 6001,
  kKeyReused = 6002,
  kOutcomeUnknown = 6003,
  kLedgerUnavailable = 6004,
  kLedgerUnresponsive = 6005,
  kAlreadyDone = 6006,
  kDamagedCommand = 6007,
  kAttemptRevoked = 6008,
  kLedgerFull = 6009,
  kAnswerNotKept = 6010,
  kClaimTooLate = 6011,
};

const ResultCodeCategory& ClaimsCategory();
std::error_code make_error_code(ClaimsCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::ClaimsCode> : std::true_type {};

#endif  // HIBISCUSGLADE_CLAIMS_CLAIMS_RESULT_CODES_H_
