#include <gtest/gtest.h>

#include "owner/tests/owner_fixture.h"
#include "tests/golden/golden.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AnOwnersSession : public testing::Test {
 protected:
  void Step(const std::string& text) { seat_.recorder.log += text + "\n"; }

  void Pass(Way way) { seat_.store.Pass(way); }

  void Fail(RunId run, RunProgress progress) {
    seat_.owner->OnRunFailed(run, {progress, true, "connection lost"},
                             seat_.clock.now);
  }

  void ExpectSession(const std::string& name) {
    ExpectGolden(std::string(HG_TEST_DATA_DIR) + "/" + name + ".txt",
                 seat_.recorder.log);
  }

  ClaimLedger ledger_;
  OwnerSeat seat_{"o1", ledger_};
};

TEST_F(AnOwnersSession, RunsOnceAndGivesTheKeptAnswerAgain) {
  Step("a request that may run once starts");
  seat_.Start("a1", "k1");
  Step("the ledger grants it");
  Pass(Way::kAnswered);
  Step("the upstream answers");
  seat_.Answer(1);
  Step("the ledger keeps the answer");
  Pass(Way::kAnswered);
  Step("its caller sends it again");
  seat_.Start("a2", "k1");
  Pass(Way::kAnswered);
  Step("its caller sends another request with the key");
  seat_.Start("a3", "k1", false, "another deposit");
  Pass(Way::kAnswered);
  EXPECT_TRUE(seat_.owner->Idle());
  ExpectSession("runs_once");
}

TEST_F(AnOwnersSession, BurnsBeforeItSaysNotRun) {
  Step("the claim's answer is lost");
  seat_.Start("a1", "k1");
  Pass(Way::kAnswerLost);
  Step("the burn is applied");
  Pass(Way::kAnswered);
  Step("the deadline passes while claiming");
  seat_.Start("a2", "k1");
  seat_.Wait(seconds(2) + milliseconds(1));
  Pass(Way::kAnswered);
  Step("the burn is applied");
  Pass(Way::kAnswered);
  Step("the caller goes while the claim is under way");
  seat_.Start("a3", "k1");
  seat_.owner->OnCancel("entry", "a3", seat_.clock.now);
  Pass(Way::kAnswered);
  Step("the burn's answer is lost");
  Pass(Way::kAnswerLost);
  Step("the next try of the burn is answered");
  Pass(Way::kAnswered);
  Step("the caller sends it again");
  seat_.Start("a4", "k1");
  Pass(Way::kAnswered);
  ExpectSession("burns");
}

TEST_F(AnOwnersSession, RefusesAsNotRunWithoutAMajority) {
  Step("no majority takes the claim");
  seat_.Start("a1", "k1");
  Pass(Way::kUnavailable);
  Step("repeatable work goes on");
  seat_.Start("a2", "", true);
  seat_.Answer(2);
  ExpectSession("no_majority");
}

TEST_F(AnOwnersSession, DrainsWhatIsClaimedOrWaits) {
  Step("two run, one waits, one claims");
  seat_.Start("a1", "", true);
  seat_.Start("a2", "", true);
  seat_.Start("a3", "k3");
  Pass(Way::kAnswered);
  seat_.Start("a4", "k4");
  Step("the owner drains");
  seat_.owner->Drain(seat_.clock.now);
  Step("the ledger answers");
  Pass(Way::kAnswered);
  Pass(Way::kAnswered);
  Pass(Way::kAnswered);
  Step("what runs is finished");
  EXPECT_FALSE(seat_.owner->Idle());
  seat_.Answer(1);
  seat_.Answer(2);
  EXPECT_TRUE(seat_.owner->Idle());
  ExpectSession("drains");
}

TEST_F(AnOwnersSession, DeliversAnAnswerThatTheLedgerDoesNotKeep) {
  seat_.Start("a1", "k1");
  Pass(Way::kAnswered);
  seat_.Answer(1);
  Step("the ledger is silent");
  seat_.Wait(milliseconds(600));
  Step("a resend meets the claim");
  seat_.Start("a2", "k1");
  std::swap(seat_.store.open.front(), seat_.store.open.back());
  Pass(Way::kAnswered);
  Step("the finish arrives at last, and a resend gets the answer");
  Pass(Way::kLost);
  Pass(Way::kAnswered);
  seat_.Start("a3", "k1");
  Pass(Way::kAnswered);
  ExpectSession("finish_late");
}

TEST_F(AnOwnersSession, EndsTheRunsOfAnEntryThatDied) {
  Step("a repeatable request and one that may run once");
  seat_.Start("a1", "", true);
  seat_.Start("a2", "k2");
  Pass(Way::kAnswered);
  Step("the entry is silent for longer than its pings");
  seat_.owner->OnEntryAlive({"a1", "a2"}, seat_.clock.now + seconds(1));
  seat_.Wait(seconds(4) + milliseconds(1));
  Step("the second is seen through");
  seat_.Answer(2);
  Pass(Way::kAnswered);
  EXPECT_TRUE(seat_.owner->Idle());
  ExpectSession("entry_died");
}

TEST_F(AnOwnersSession, BlamesWhatRanWhenTheUpstreamDied) {
  Step("two run when the upstream dies");
  seat_.Start("a1", "", true, "poison");
  seat_.Start("a2", "", true, "innocent");
  Fail(1, RunProgress::kSent);
  Fail(2, RunProgress::kSent);
  seat_.Wait(milliseconds(40));
  seat_.owner->OnProbed(false, seat_.clock.now);
  Step("while it is down nothing is taken");
  seat_.Start("a3", "", true);
  Step("it comes back; the suspects run alone");
  seat_.Wait(milliseconds(300));
  seat_.owner->OnProbed(true, seat_.clock.now);
  seat_.Start("a4", "", true, "innocent");
  seat_.Start("a5", "", true, "poison");
  seat_.Start("a6", "", true, "another");
  seat_.Answer(3);
  Step("the poison kills again and is condemned");
  Fail(4, RunProgress::kSent);
  Fail(5, RunProgress::kNotSent);
  seat_.Wait(milliseconds(40));
  seat_.owner->OnProbed(false, seat_.clock.now);
  seat_.Wait(milliseconds(300));
  seat_.owner->OnProbed(true, seat_.clock.now);
  seat_.Start("a7", "", true, "poison");
  seat_.Start("a8", "", true, "another");
  seat_.Answer(6);
  ExpectSession("poison");
}

TEST_F(AnOwnersSession, RefusesClaimsThatASlowLedgerCanNotTake) {
  for (int i = 0; i < 64; ++i) {
    seat_.Start("a" + std::to_string(i), "k" + std::to_string(i));
  }
  Step("the ledger has taken none of 64 claims");
  seat_.Start("b1", "k64");
  Step("it answers one");
  Pass(Way::kUnavailable);
  seat_.Start("b2", "k64");
  EXPECT_EQ(seat_.store.open.size(), 64U);
  ExpectSession("slow_ledger");
}

TEST_F(AnOwnersSession, StreamsAnAnswerTooLargeToKeep) {
  seat_.Start("a1", "k1");
  Pass(Way::kAnswered);
  Step("the answer is larger than what is kept");
  seat_.Answer(1, std::string(100'000, 'x'));
  Step("the ledger notes that it ran");
  Pass(Way::kAnswered);
  seat_.Start("a2", "k1");
  Pass(Way::kAnswered);
  ExpectSession("large_answer");
}

TEST_F(AnOwnersSession, TakesWorkAgainAfterItsUpstreamHasRestarted) {
  UpstreamAnnouncement upstream;
  upstream.service = "orders";
  upstream.slots = 1;
  upstream.state = UpstreamState::kDraining;
  AdmissionConfig config;
  Step("the upstream drains");
  seat_.owner->SetUpstream(upstream, config, seat_.clock.now);
  seat_.Start("a1", "", true);
  Step("it serves again");
  upstream.state = UpstreamState::kServing;
  seat_.owner->SetUpstream(upstream, config, seat_.clock.now);
  seat_.Start("a2", "", true);
  seat_.Answer(1);
  ExpectSession("upstream_restarts");
}

}  // namespace
}  // namespace hibiscusglade
