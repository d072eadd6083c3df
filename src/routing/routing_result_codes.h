#ifndef HIBISCUSGLADE_ROUTING_ROUTING_RESULT_CODES_H_
#define HIBISCUSGLADE_ROUTING_ROUTING_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 4000 to 4999.
enum class RoutingCode {
  kNoRoute = 4001,
  kNoUpstream = 4002,
  kNoVersion = 4003,
  kAttemptsSpent = 4004,
  kDeadlinePassed = 4005,
  kOwnerLost = 4006,
  kAnswerBroken = 4007,
  kCallerDisconnected = 4008,
  kStopping = 4009,
  kOwnerUnreachable = 4010,
  kStopsTooSoon = 4011,
  kCutByStop = 4012,
  kKeyMissing = 4013,
  kKeyUnknown = 4014,
  kOverLimit = 4015,
};

const ResultCodeCategory& RoutingCategory();
std::error_code make_error_code(RoutingCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::RoutingCode> : std::true_type {};

#endif  // HIBISCUSGLADE_ROUTING_ROUTING_RESULT_CODES_H_
