#include <gtest/gtest.h>

#include "owner/tests/owner_fixture.h"
#include "tests/golden/golden.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AnOwnerWithClaims : public testing::Test {
 protected:
  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 1};
};

// Guards against callers that are told "not run" without a time to come back.
TEST_F(AnOwnerWithClaims, SaysWhenToComeBackOnceTheClaimIsRevoked) {
  for (int i = 0; i < 6; ++i) {
    const std::string number = std::to_string(i);
    harness_.Start("a" + number, "k" + number);
    harness_.store.DeliverNext(Delivery::kAnswered);
  }
  ASSERT_EQ(harness_.store.pending.size(), 1u);  // The queue holds four.
  harness_.store.DeliverNext(Delivery::kAnswered);
  EXPECT_EQ(harness_.recorder.refused.at("a5"), Certainty::kNotRun);
  EXPECT_GT(harness_.recorder.retry_after.at("a5"), Duration{});
}

// Guards against an answer of one chunk that is streamed before it is whole,
// and can't be replaced by another attempt when it breaks off.
TEST_F(AnOwnerWithClaims, HoldsAnyShortAnswerThatMayBeRepeated) {
  constexpr int64_t kBytes = 60 * 1024;
  harness_.Start("a1", "", true);
  harness_.owner->OnRunHead(1, {200, {}, kBytes}, harness_.clock.now);
  harness_.owner->OnRunData(1, std::string(kBytes - 1, 'a'),
                            harness_.clock.now);
  EXPECT_EQ(harness_.recorder.log.find("head"), std::string::npos);
  harness_.owner->OnRunFailed(1, {RunProgress::kAnswering, false, "broke off"},
                              harness_.clock.now);
  EXPECT_EQ(harness_.recorder.refused.at("a1"), Certainty::kUnknown);
}

class AnOwnersSession : public testing::Test {
 protected:
  void Step(const std::string& text) { harness_.recorder.log += text + "\n"; }

  void DeliverNext(Delivery delivery) { harness_.store.DeliverNext(delivery); }

  void Fail(RunId run, RunProgress progress) {
    harness_.owner->OnRunFailed(run, {progress, true, "connection lost"},
                                harness_.clock.now);
  }

  void ExpectSession(const std::string& name) {
    ExpectGolden(std::string(HG_TEST_DATA_DIR) + "/" + name + ".txt",
                 harness_.recorder.log);
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_};
};

TEST_F(AnOwnersSession, RunsOnceAndGivesTheKeptAnswerAgain) {
  Step("a request that may not be repeated starts");
  harness_.Start("a1", "k1");
  Step("the ledger grants the claim");
  DeliverNext(Delivery::kAnswered);
  Step("the upstream answers");
  harness_.Answer(1);
  Step("the ledger keeps the answer");
  DeliverNext(Delivery::kAnswered);
  Step("the caller resends the request");
  harness_.Start("a2", "k1");
  DeliverNext(Delivery::kAnswered);
  Step("the caller sends another request with the same key");
  harness_.Start("a3", "k1", false, "another deposit");
  DeliverNext(Delivery::kAnswered);
  EXPECT_TRUE(harness_.owner->Idle());
  ExpectSession("runs_once");
}

TEST_F(AnOwnersSession, RevokesTheClaimBeforeItReportsNotRun) {
  Step("the answer to the claim is lost");
  harness_.Start("a1", "k1");
  DeliverNext(Delivery::kAnswerLost);
  Step("the revocation is applied");
  DeliverNext(Delivery::kAnswered);
  Step("the deadline passes while the claim is pending");
  harness_.Start("a2", "k1");
  harness_.Wait(seconds(2) + milliseconds(1));
  DeliverNext(Delivery::kAnswered);
  Step("the revocation is applied");
  DeliverNext(Delivery::kAnswered);
  Step("the caller cancels while the claim is pending");
  harness_.Start("a3", "k1");
  harness_.owner->OnCancel("entry", "a3", harness_.clock.now);
  DeliverNext(Delivery::kAnswered);
  Step("the answer to the revocation is lost");
  DeliverNext(Delivery::kAnswerLost);
  Step("the resent revocation is answered");
  DeliverNext(Delivery::kAnswered);
  Step("the caller resends the request");
  harness_.Start("a4", "k1");
  DeliverNext(Delivery::kAnswered);
  ExpectSession("revocations");
}

TEST_F(AnOwnersSession, RefusesAsNotRunWithoutAMajority) {
  Step("no majority records the claim");
  harness_.Start("a1", "k1");
  DeliverNext(Delivery::kUnavailable);
  Step("a repeatable request still runs");
  harness_.Start("a2", "", true);
  harness_.Answer(2);
  ExpectSession("no_majority");
}

TEST_F(AnOwnersSession, DrainsWhatIsClaimedOrWaits) {
  Step("two attempts run, one is queued, one waits for its claim");
  harness_.Start("a1", "", true);
  harness_.Start("a2", "", true);
  harness_.Start("a3", "k3");
  DeliverNext(Delivery::kAnswered);
  harness_.Start("a4", "k4");
  Step("the owner drains");
  harness_.owner->Drain(harness_.clock.now);
  Step("the ledger answers");
  DeliverNext(Delivery::kAnswered);
  DeliverNext(Delivery::kAnswered);
  DeliverNext(Delivery::kAnswered);
  Step("the running attempts finish");
  EXPECT_FALSE(harness_.owner->Idle());
  harness_.Answer(1);
  harness_.Answer(2);
  EXPECT_TRUE(harness_.owner->Idle());
  ExpectSession("drains");
}

TEST_F(AnOwnersSession, DeliversAnAnswerThatTheLedgerDoesNotKeep) {
  harness_.Start("a1", "k1");
  DeliverNext(Delivery::kAnswered);
  harness_.Answer(1);
  Step("the ledger does not answer within the finish timeout");
  harness_.Wait(milliseconds(600));
  Step("a resend is refused while the claim is unfinished");
  harness_.Start("a2", "k1");
  std::swap(harness_.store.pending.front(), harness_.store.pending.back());
  DeliverNext(Delivery::kAnswered);
  Step("the resent finish is applied, and a resend gets the answer");
  DeliverNext(Delivery::kCommandLost);
  DeliverNext(Delivery::kAnswered);
  harness_.Start("a3", "k1");
  DeliverNext(Delivery::kAnswered);
  ExpectSession("finish_late");
}

TEST_F(AnOwnersSession, EndsTheRunsOfAnEntryThatDied) {
  Step("a repeatable request and one that may not be repeated start");
  harness_.Start("a1", "", true);
  harness_.Start("a2", "k2");
  DeliverNext(Delivery::kAnswered);
  Step("the entry sends nothing for longer than the entry timeout");
  harness_.owner->OnEntryAlive({"a1", "a2"}, harness_.clock.now + seconds(1));
  harness_.Wait(seconds(4) + milliseconds(1));
  Step("the run that may not be repeated finishes");
  harness_.Answer(2);
  DeliverNext(Delivery::kAnswered);
  EXPECT_TRUE(harness_.owner->Idle());
  ExpectSession("entry_died");
}

TEST_F(AnOwnersSession, BlamesWhatRanWhenTheUpstreamDied) {
  Step("the upstream dies while two requests run");
  harness_.Start("a1", "", true, "poison");
  harness_.Start("a2", "", true, "innocent");
  Fail(1, RunProgress::kSent);
  Fail(2, RunProgress::kSent);
  harness_.Wait(milliseconds(40));
  harness_.owner->OnProbed(false, harness_.clock.now);
  Step("attempts are refused while the upstream is down");
  harness_.Start("a3", "", true);
  Step("the upstream is back; the suspects run alone");
  harness_.Wait(milliseconds(300));
  harness_.owner->OnProbed(true, harness_.clock.now);
  harness_.Start("a4", "", true, "innocent");
  harness_.Start("a5", "", true, "poison");
  harness_.Start("a6", "", true, "another");
  harness_.Answer(3);
  Step("the poison request kills the upstream again and is quarantined");
  Fail(4, RunProgress::kSent);
  Fail(5, RunProgress::kNotSent);
  harness_.Wait(milliseconds(40));
  harness_.owner->OnProbed(false, harness_.clock.now);
  harness_.Wait(milliseconds(300));
  harness_.owner->OnProbed(true, harness_.clock.now);
  harness_.Start("a7", "", true, "poison");
  harness_.Start("a8", "", true, "another");
  harness_.Answer(6);
  ExpectSession("poison");
}

TEST_F(AnOwnersSession, RefusesClaimsThatASlowLedgerCanNotTake) {
  for (int i = 0; i < 64; ++i) {
    harness_.Start("a" + std::to_string(i), "k" + std::to_string(i));
  }
  Step("the ledger has answered none of 64 claims");
  harness_.Start("b1", "k64");
  Step("the ledger answers one claim");
  DeliverNext(Delivery::kUnavailable);
  harness_.Start("b2", "k64");
  EXPECT_EQ(harness_.store.pending.size(), 64U);
  ExpectSession("slow_ledger");
}

TEST_F(AnOwnersSession, StreamsAnAnswerTooLargeToKeep) {
  harness_.Start("a1", "k1");
  DeliverNext(Delivery::kAnswered);
  Step("the answer is too large to be kept");
  harness_.Answer(1, std::string(100'000, 'x'));
  Step("the ledger records that the request ran");
  DeliverNext(Delivery::kAnswered);
  harness_.Start("a2", "k1");
  DeliverNext(Delivery::kAnswered);
  ExpectSession("large_answer");
}

TEST_F(AnOwnersSession, TakesWorkAgainAfterItsUpstreamHasRestarted) {
  UpstreamAnnouncement upstream;
  upstream.service = "orders";
  upstream.slots = 1;
  upstream.state = UpstreamState::kDraining;
  AdmissionConfig config;
  Step("the upstream drains");
  harness_.owner->SetUpstream(upstream, config, harness_.clock.now);
  harness_.Start("a1", "", true);
  Step("the upstream serves again");
  upstream.state = UpstreamState::kServing;
  harness_.owner->SetUpstream(upstream, config, harness_.clock.now);
  harness_.Start("a2", "", true);
  harness_.Answer(1);
  ExpectSession("upstream_restarts");
}

}  // namespace
}  // namespace hibiscusglade
