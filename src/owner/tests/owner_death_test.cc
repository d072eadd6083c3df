#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// Run 1 is of a request that crashes the upstream, run 2 of a download.
class AnUpstreamThatCrashesBesideADownload : public testing::Test {
 protected:
  AnUpstreamThatCrashesBesideADownload() {
    Announce("i-1", UpstreamState::kServing);
    harness_.Start("poison", "", true, "poison");
    harness_.Start("download", "", true, "download");
    harness_.owner->OnRunHead(2, {200, {}, 800'000}, harness_.clock.now);
    harness_.owner->OnRunData(2, std::string(100'000, 'd'), harness_.clock.now);
  }

  void Lose(RunId run, RunProgress progress = RunProgress::kSent) {
    harness_.owner->OnRunFailed(run, {progress, true, "connection lost"},
                                harness_.clock.now);
  }
  void Wait(milliseconds time) { harness_.Wait(time); }
  void ProbeEnds(bool reachable) {
    harness_.owner->OnProbed(reachable, harness_.clock.now);
  }
  void Announce(const std::string& id, UpstreamState state) {
    UpstreamAnnouncement upstream;
    upstream.id = id;
    upstream.service = "orders";
    upstream.slots = 4;
    upstream.state = state;
    harness_.owner->SetUpstream(upstream, {}, harness_.clock.now);
  }
  /// The upstream is up again, and the poison runs alone.
  void RunPoisonAgain() {
    ProbeEnds(false);
    Wait(milliseconds(300));
    ProbeEnds(true);
    harness_.Answer(2, std::string(700'000, 'd'));
    harness_.Start("again", "", true, "poison");
  }
  bool Probed() const { return Count("upstream is probed") > 0; }
  size_t Count(const std::string& line) const {
    std::istringstream log(harness_.recorder.log);
    size_t count = 0;
    for (std::string text; std::getline(log, text);) {
      if (text.find(line) != std::string::npos) ++count;
    }
    return count;
  }
  size_t Suspected() const { return Count("suspicions for orders, blames 1"); }
  bool Refused(const std::string& attempt) const {
    return harness_.recorder.refused.contains(attempt);
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 4};
};

// Guards against a death that is missed while an answer is still being read.
TEST_F(AnUpstreamThatCrashesBesideADownload, IsFoundDeadByARefusedConnection) {
  Lose(1);
  Wait(milliseconds(40));
  ASSERT_TRUE(Probed());
  ProbeEnds(false);
  EXPECT_EQ(Suspected(), 1u);
  EXPECT_TRUE(Refused("poison"));
}

// Guards against an answer in a socket's buffer that proves its sender alive.
TEST_F(AnUpstreamThatCrashesBesideADownload,
       IsFoundDeadThoughTheDownloadEndsWell) {
  Lose(1);
  Wait(milliseconds(10));
  harness_.Answer(2, std::string(700'000, 'd'));
  Wait(milliseconds(30));
  ProbeEnds(false);
  EXPECT_EQ(Suspected(), 1u);
}

// Guards against a run whose caller has left and that is waited for.
TEST_F(AnUpstreamThatCrashesBesideADownload,
       IsFoundDeadThoughTheDownloadIsCancelled) {
  harness_.owner->OnCancel("entry", "download", harness_.clock.now);
  harness_.Start("late", "", true, "late");
  Lose(1);
  harness_.owner->OnRunFailed(3, {RunProgress::kSent, false, "timeout"},
                              harness_.clock.now);
  Wait(milliseconds(40));
  ProbeEnds(false);
  EXPECT_EQ(Suspected(), 1u);
}

TEST_F(AnUpstreamThatCrashesBesideADownload,
       MakesASuspectOfTheDownloadOnlyWhenItBreaksOff) {
  Lose(1);
  Wait(milliseconds(40));
  ProbeEnds(false);
  EXPECT_EQ(Suspected(), 1u);
  Wait(milliseconds(200));
  ProbeEnds(false);
  Lose(2, RunProgress::kAnswering);
  EXPECT_EQ(Suspected(), 2u);
}

// Guards against a sound request that is condemned for what ran beside it.
TEST_F(AnUpstreamThatCrashesBesideADownload, CondemnsNobodyBeforeOneRanAlone) {
  harness_.Start("poison too", "", true, "poison");
  Lose(1);
  Wait(milliseconds(40));
  ProbeEnds(false);
  Lose(3);
  EXPECT_EQ(Count("blames 2"), 0u);
}

// Guards against a request that crashes one upstream after the other.
TEST_F(AnUpstreamThatCrashesBesideADownload,
       RefusesThePoisonOnceItHasCrashedItAlone) {
  Lose(1);
  Wait(milliseconds(40));
  RunPoisonAgain();
  ASSERT_TRUE(harness_.recorder.started.contains(3));
  harness_.Start("beside", "", true, "beside");
  EXPECT_FALSE(harness_.recorder.started.contains(4));
  Lose(3);
  Wait(milliseconds(40));
  ProbeEnds(false);
  EXPECT_EQ(Count("blames 2"), 1u);
  Wait(milliseconds(300));
  ProbeEnds(true);
  harness_.Start("third", "", true, "poison");
  EXPECT_EQ(harness_.recorder.refused.at("third"), Certainty::kNotRun);
}

// Guards against a crash that is over before the upstream is probed.
TEST_F(AnUpstreamThatCrashesBesideADownload, IsFoundDeadByItsNextProcess) {
  Lose(1);
  Announce("i-2", UpstreamState::kServing);
  EXPECT_EQ(Suspected(), 1u);
  Lose(2, RunProgress::kAnswering);
  EXPECT_EQ(Suspected(), 2u);
}

// Guards against a process that still holds connections while it ends.
TEST_F(AnUpstreamThatCrashesBesideADownload,
       IsFoundDeadSoonAfterItSeemedAlive) {
  harness_.recorder.connected = true;
  Lose(1);
  Wait(milliseconds(40));
  EXPECT_FALSE(Probed());
  EXPECT_TRUE(Refused("poison"));
  harness_.Start("next", "", true, "next");
  Lose(3, RunProgress::kNotSent);
  Wait(milliseconds(10));
  ASSERT_TRUE(Probed());
  ProbeEnds(false);
  EXPECT_EQ(Suspected(), 1u);
}

class AnUpstreamThatLosesAConnection
    : public AnUpstreamThatCrashesBesideADownload {};

TEST_F(AnUpstreamThatLosesAConnection, IsNoSuspectsCauseWhileAnotherIsOpen) {
  harness_.recorder.connected = true;
  Lose(1);
  Wait(milliseconds(40));
  EXPECT_FALSE(Probed());
  EXPECT_TRUE(Refused("poison"));
  EXPECT_EQ(Suspected(), 0u);
}

TEST_F(AnUpstreamThatLosesAConnection, IsAliveWhenItAcceptsAConnection) {
  Lose(1);
  Wait(milliseconds(40));
  ProbeEnds(true);
  EXPECT_TRUE(Refused("poison"));
  Lose(2, RunProgress::kAnswering);
  Wait(milliseconds(1200));
  ProbeEnds(true);
  EXPECT_EQ(Suspected(), 0u);
}

// Guards against requests blamed for an upstream that ends as planned.
TEST_F(AnUpstreamThatLosesAConnection, EndsItsRunsBlamelesslyOnceItDrains) {
  harness_.Start("last", "", true, "last");
  Announce("i-1", UpstreamState::kDraining);
  Lose(1);
  Lose(2, RunProgress::kAnswering);
  Lose(3);
  Wait(milliseconds(40));
  EXPECT_FALSE(Probed());
  EXPECT_TRUE(Refused("poison"));
  Announce("i-2", UpstreamState::kServing);
  EXPECT_EQ(Suspected(), 0u);
}

// Guards against a caller that waits for the probe of an upstream that left.
TEST_F(AnUpstreamThatLosesAConnection, TellsTheEntryAtOnceWhenItHasLeft) {
  Lose(1);
  Lose(2, RunProgress::kAnswering);
  harness_.owner->SetUpstream(std::nullopt, {}, harness_.clock.now);
  Wait(milliseconds(40));
  EXPECT_EQ(harness_.recorder.refused.at("poison"), Certainty::kUnknown);
  EXPECT_EQ(Suspected(), 0u);
}

// Guards against the result of a probe that began before the connection was
// lost.
TEST_F(AnUpstreamThatLosesAConnection, IsProbedAgainWhenAProbeIsUnderWay) {
  Lose(1, RunProgress::kNotSent);
  Wait(milliseconds(10));
  ASSERT_EQ(Count("upstream is probed"), 1u);
  Lose(2, RunProgress::kAnswering);
  ProbeEnds(true);
  EXPECT_FALSE(Refused("download"));
  Wait(milliseconds(40));
  EXPECT_EQ(Count("upstream is probed"), 2u);
  ProbeEnds(false);
  EXPECT_EQ(Suspected(), 1u);
}

}  // namespace
}  // namespace hibiscusglade
