#include "claims/claims_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {6001, "missing-key", "the route needs an Idempotency-Key", 400,
     Certainty::kNotRun, "The caller must send an Idempotency-Key."},
    {6002, "key-reused", "the key was used for another request", 422,
     Certainty::kNotRun, "The caller must use a new key for each request."},
    {6003, "outcome-unknown", "an earlier attempt may have run", 409,
     Certainty::kUnknown, "Look the outcome up at the service."},
    {6004, "ledger-unavailable", "no majority can record the claim", 503,
     Certainty::kNotRun, "Restore replicas or their network, then resend."},
    {6005, "ledger-silent", "the ledger's answer was lost", 503,
     Certainty::kUnknown, "Resend with the same key."},
    {6006, "already-done", "the request ran; its answer was kept", 200,
     Certainty::kNotApplicable, "Nothing."},
    {6007, "damaged-command", "the claim can't be decoded", 400,
     Certainty::kNotRun, "Check that all daemons run the same release."},
    {6008, "attempt-burnt", "the attempt was given up before it began", 503,
     Certainty::kNotRun, "Resend with the same key."},
    {6009, "ledger-full", "the ledger holds as many claims as it may", 503,
     Certainty::kNotRun,
     "Wait until claims expire; send fewer calls with claims."},
    {6010, "answer-not-kept", "the request ran; its answer was not kept", 409,
     Certainty::kUnknown, "Look the outcome up at the service."},
    {6011, "claim-too-late", "the claim came after its own expiry", 503,
     Certainty::kNotRun, "Check the clocks of the instances."},
};

}  // namespace

const ResultCodeCategory& ClaimsCategory() {
  static const ResultCodeCategory category("claims", kCodes);
  return category;
}

std::error_code make_error_code(ClaimsCode code) {
  return {static_cast<int>(code), ClaimsCategory()};
}

}  // namespace hibiscusglade
