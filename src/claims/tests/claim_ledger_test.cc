#include "claims/claim_ledger.h"

#include <gtest/gtest.h>

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr int64_t kMinute = 60LL * 1000 * 1000;

class ALedgerOfClaims : public testing::Test {
 protected:
  explicit ALedgerOfClaims(size_t max_bytes = size_t{1024} * 1024)
      : ledger_(max_bytes) {}

  ClaimOutcome Apply(ClaimKind kind, const std::string& attempt,
                     Digest digest = 7, const std::string& answer = "") {
    return ApplyTo("k1", kind, attempt, digest, answer);
  }

  ClaimOutcome ApplyTo(const std::string& key, ClaimKind kind,
                       const std::string& attempt, Digest digest = 7,
                       const std::string& answer = "") {
    ClaimCommand command{
        kind,    "orders", key,    digest,
        attempt, "o",      answer, now_ + kClaimLifetimeMicros};
    return DecodeClaimOutcome(ledger_.Apply(EncodeClaim(command)));
  }

  ClaimLedger ledger_;
  int64_t now_ = 1000 * kMinute;
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

TEST_F(ALedgerOfClaims, KeepsTheFirstAnswerWhenTheFinishComesTwice) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kFinish, "a1", 7, "done");
  EXPECT_FALSE(Apply(ClaimKind::kFinish, "a1", 7, "other").error);
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2").kept_answer, "done");
}

TEST_F(ALedgerOfClaims, RefusesAKeyUsedForAnotherRequest) {
  Apply(ClaimKind::kClaim, "a1");
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2", 8).error, ClaimsCode::kKeyReused);
}

TEST_F(ALedgerOfClaims, GrantsAgainAfterTheAttemptWasRevoked) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kRevoke, "a1");
  EXPECT_FALSE(Apply(ClaimKind::kClaim, "a2").error);
  EXPECT_EQ(Apply(ClaimKind::kFinish, "a1").error, ClaimsCode::kOutcomeUnknown);
}

TEST_F(ALedgerOfClaims, NeverGrantsAClaimAppliedAfterItsRevocation) {
  EXPECT_FALSE(Apply(ClaimKind::kRevoke, "a1").error);
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a1").error, ClaimsCode::kAttemptRevoked);
  EXPECT_FALSE(Apply(ClaimKind::kRevoke, "a1").error);
  EXPECT_FALSE(Apply(ClaimKind::kClaim, "a2").error);
}

TEST_F(ALedgerOfClaims, DoesNotRevokeAFinishedClaim) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kFinish, "a1", 7, "done");
  EXPECT_EQ(Apply(ClaimKind::kRevoke, "a1").error, ClaimsCode::kOutcomeUnknown);
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2").kept_answer, "done");
}

TEST_F(ALedgerOfClaims, RemembersThatItRanWhenTheAnswerIsTooLargeToKeep) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kFinish, "a1", 7, std::string(kMaxKeptAnswerBytes + 1, 'x'));
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2").error, ClaimsCode::kAnswerNotKept);
}

TEST_F(ALedgerOfClaims, ForgetsAKeyAfterItsLifetime) {
  Apply(ClaimKind::kClaim, "a1");
  now_ += kClaimLifetimeMicros - kMinute;
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2").error, ClaimsCode::kOutcomeUnknown);
  now_ += kMinute;
  EXPECT_FALSE(Apply(ClaimKind::kClaim, "a3").error);
  EXPECT_EQ(ledger_.Size(), 1U);
}

TEST_F(ALedgerOfClaims, RefusesALateClaimWhoseRevocationExpired) {
  Apply(ClaimKind::kRevoke, "a1");
  const int64_t sent = now_;
  now_ += kClaimLifetimeMicros + kMinute;
  ApplyTo("k2", ClaimKind::kClaim, "b1");
  now_ = sent;
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a1").error, ClaimsCode::kClaimTooLate);
}

TEST_F(ALedgerOfClaims, FreesTheMemoryOfExpiredClaims) {
  const size_t empty = ledger_.Bytes();
  for (int i = 0; i < 10; ++i) {
    const std::string name = std::to_string(i);
    ApplyTo("k" + name, ClaimKind::kClaim, "a" + name);
    ApplyTo("k" + name, ClaimKind::kFinish, "a" + name, 7, "done");
    ApplyTo("k" + name, ClaimKind::kRevoke, "b" + name);
  }
  EXPECT_GT(ledger_.Bytes(), empty);
  now_ += kClaimLifetimeMicros + kMinute;
  Apply(ClaimKind::kRevoke, "a1");
  Apply(ClaimKind::kRevoke, "a1");
  now_ += kClaimLifetimeMicros + kMinute;
  // Expires everything before it, so that only this claim remains.
  ApplyTo("k", ClaimKind::kClaim, "last");
  EXPECT_EQ(ledger_.Size(), 1U);
  EXPECT_LT(ledger_.Bytes(), 1000U);
}

TEST_F(ALedgerOfClaims, ComesBackFromItsSnapshot) {
  Apply(ClaimKind::kClaim, "a1");
  Apply(ClaimKind::kFinish, "a1", 7, "done");
  ApplyTo("k2", ClaimKind::kRevoke, "b1");
  ClaimLedger other;
  ASSERT_TRUE(other.Restore(ledger_.Snapshot()));
  EXPECT_EQ(other.Snapshot(), ledger_.Snapshot());
  EXPECT_EQ(other.Bytes(), ledger_.Bytes());
}

class AFullLedger : public ALedgerOfClaims {
 protected:
  AFullLedger() : ALedgerOfClaims(600) { Apply(ClaimKind::kClaim, "a1"); }
};

TEST_F(AFullLedger, GrantsNothingMoreButKeepsWhatItHolds) {
  EXPECT_EQ(ApplyTo("k2", ClaimKind::kClaim, "b1").error,
            ClaimsCode::kLedgerFull);
  EXPECT_FALSE(Apply(ClaimKind::kFinish, "a1", 7, "done").error);
  EXPECT_EQ(Apply(ClaimKind::kClaim, "a2").error, ClaimsCode::kAlreadyDone);
}

}  // namespace
}  // namespace hibiscusglade
