#include "claims/claim_ledger.h"

#include <gtest/gtest.h>

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"

namespace hibiscusglade {
namespace {

class ALedgerOfClaims : public testing::Test {
 protected:
  ClaimOutcome Apply(ClaimKind kind, const std::string& attempt,
                     Digest digest = 7, const std::string& answer = "") {
    ClaimCommand command{kind, "orders", "k1", digest, attempt, "o", answer, 0};
    return DecodeClaimOutcome(ledger_.Apply(EncodeClaim(command)));
  }

  ClaimLedger ledger_;
};

TEST_F(ALedgerOfClaims, GrantsAKeyOnce) {
  EXPECT_FALSE(Apply(ClaimKind::kClaim, "a1").error);
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2").error, ClaimsCode::kOutcomeUnknown);
}

TEST_F(ALedgerOfClaims, GivesTheKeptAnswerToAResend) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kFinish, "a1", 7, "done");
  ClaimOutcome outcome = Apply(ClaimKind::kClaim, "a2");
  EXPECT_EQ(outcome.error, ClaimsCode::kAlreadyDone);
  EXPECT_EQ(outcome.kept_answer, "done");
}

TEST_F(ALedgerOfClaims, RefusesAKeyUsedForAnotherRequest) {
  Apply(ClaimKind::kClaim, "a1");
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2", 8).error, ClaimsCode::kKeyReused);
}

TEST_F(ALedgerOfClaims, GrantsAgainAfterTheAttemptWasBurnt) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kBurn, "a1");
  EXPECT_FALSE(Apply(ClaimKind::kClaim, "a2").error);
  EXPECT_EQ(Apply(ClaimKind::kFinish, "a1").error, ClaimsCode::kOutcomeUnknown);
}

TEST_F(ALedgerOfClaims, ComesBackFromItsSnapshot) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kFinish, "a1", 7, "done");
  ClaimLedger other;
  ASSERT_TRUE(other.Restore(ledger_.Snapshot()));
  EXPECT_EQ(other.Snapshot(), ledger_.Snapshot());
}

}  // namespace
}  // namespace hibiscusglade
