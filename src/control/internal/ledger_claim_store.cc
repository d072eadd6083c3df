#include "control/internal/ledger_claim_store.h"

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

ClaimOutcome OutcomeOf(const ReplicaResult& result) {
  if (!result.error) return DecodeClaimOutcome(result.result);
  if (result.error == ConsensusCode::kNoQuorum) {
    return {ClaimsCode::kLedgerUnavailable, ""};
  }
  return {ClaimsCode::kLedgerUnresponsive, ""};
}

}  // namespace

void LedgerClaimStore::Submit(const ClaimCommand& command, Done done) {
  Executor& executor = executor_;
  submitter_(EncodeClaim(command),
             [&executor, done = std::move(done)](const ReplicaResult& result) {
               ClaimOutcome outcome = OutcomeOf(result);
               executor.Post([done, outcome] { done(outcome); });
             });
}

}  // namespace hibiscusglade
