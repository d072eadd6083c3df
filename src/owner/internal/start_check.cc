#include "owner/internal/start_check.h"

#include "admission/admission_result_codes.h"
#include "claims/claims_result_codes.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

/// Claim commands that may wait for the ledger at the same time. Further ones
/// would be answered after their callers' deadlines and need a revocation each.
constexpr size_t kMaxPendingCommands = 64;

}  // namespace

std::optional<std::error_code> StartCheck::ReasonToRefuse(const Job& job,
                                                          Instant now) {
  const CallAttempt& attempt = job.attempt;
  if (draining_ || upstream_.Drains()) {
    return make_error_code(AdmissionCode::kDraining);
  }
  if (stop_limit_.EndsBefore(job.deadline)) {
    return make_error_code(RoutingCode::kStopsTooSoon);
  }
  if (!upstream_.Current().has_value() || upstream_.Down()) {
    return make_error_code(AdmissionCode::kNotServing);
  }
  if (upstream_.Current()->service != attempt.service) {
    return make_error_code(AdmissionCode::kWrongService);
  }
  if (attempt.NeedsClaim() && attempt.request.idempotency_key.empty()) {
    return make_error_code(ClaimsCode::kMissingKey);
  }
  if (attempt.NeedsClaim() &&
      writer_.PendingCommands() >= kMaxPendingCommands) {
    return make_error_code(AdmissionCode::kQueueFull);
  }
  const QuarantineDecision decision = quarantine_.Decide(job.fingerprint, now);
  if (decision == QuarantineDecision::kRefuse) {
    return make_error_code(AdmissionCode::kQuarantined);
  }
  return std::nullopt;
}

}  // namespace hibiscusglade
