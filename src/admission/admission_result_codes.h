#ifndef HIBISCUSGLADE_ADMISSION_ADMISSION_RESULT_CODES_H_
#define HIBISCUSGLADE_ADMISSION_ADMISSION_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 5000 to 5999.
enum class AdmissionCode {
  kNotServing = 5001,
  kDraining = 5002,
  kQueueFull = 5003,
  kWaitedTooLong = 5004,
  kDeadlineTooNear = 5005,
  kQuarantined = 5006,
  kWrongService = 5007,
  kShed = 5008,
  kRejected = 5009,
  kReplaced = 5010,
  kBodyBroken = 5011,
};

const ResultCodeCategory& AdmissionCategory();
std::error_code make_error_code(AdmissionCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::AdmissionCode> : std::true_type {
};

#endif  // HIBISCUSGLADE_ADMISSION_ADMISSION_RESULT_CODES_H_
