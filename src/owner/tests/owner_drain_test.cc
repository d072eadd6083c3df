#include <gtest/gtest.h>

#include "owner/internal/job.h"
#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// An owner at which one request runs. Behind it, one that is suspected to
/// crash upstreams waits until nothing else runs, and another one behind that.
class AnOwnerThatHoldsASuspect : public testing::Test {
 protected:
  AnOwnerThatHoldsASuspect() {
    harness_.Start("running", "", true, "harmless");
    const Digest suspect =
        FingerprintOf(harness_.recorder.started.at(1).request);
    harness_.quarantine->OnUpstreamDeath({suspect, 0}, 2, harness_.clock.now);
    harness_.Start("suspect", "", true, "harmless");
    harness_.Start("next", "", true, "another");
  }

  /// Announces an upstream in a state, or that there is none.
  void SetUpstream(std::optional<UpstreamState> state) {
    std::optional<UpstreamAnnouncement> upstream;
    if (state.has_value()) {
      upstream.emplace();
      upstream->service = "orders";
      upstream->slots = 4;
      upstream->state = *state;
    }
    harness_.owner->SetUpstream(upstream, {}, harness_.clock.now);
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 4};
};

TEST_F(AnOwnerThatHoldsASuspect, StartsItWhenTheOtherHasEnded) {
  ASSERT_EQ(harness_.recorder.started.size(), 1U);
  harness_.Answer(1);
  EXPECT_TRUE(harness_.recorder.started.contains(2));
}

TEST_F(AnOwnerThatHoldsASuspect, SendsNothingToAnUpstreamThatDrains) {
  SetUpstream(UpstreamState::kDraining);
  EXPECT_EQ(harness_.recorder.refused.at("suspect"), Certainty::kNotRun);
  EXPECT_EQ(harness_.recorder.refused.at("next"), Certainty::kNotRun);
  harness_.Answer(1);
  harness_.Wait(milliseconds(100));
  EXPECT_TRUE(harness_.recorder.started.empty());
  EXPECT_TRUE(harness_.owner->Idle());
}

TEST_F(AnOwnerThatHoldsASuspect, SendsNothingToAnUpstreamThatHasLeft) {
  SetUpstream(std::nullopt);
  harness_.Answer(1);
  harness_.Wait(milliseconds(100));
  EXPECT_TRUE(harness_.recorder.started.empty());
  EXPECT_EQ(harness_.recorder.refused.at("suspect"), Certainty::kNotRun);
  EXPECT_TRUE(harness_.owner->Idle());
}

/// An owner that probes its upstream, as a connection to it was lost, while
/// another upstream takes its place.
class AnOwnerWhoseUpstreamIsReplaced : public testing::Test {
 protected:
  AnOwnerWhoseUpstreamIsReplaced() {
    Announce("i-1");
    harness_.Start("lost", "", true);
    harness_.owner->OnRunFailed(1, {RunProgress::kNotSent, true, "refused"},
                                harness_.clock.now);
    harness_.Wait(milliseconds(10));
  }

  void Announce(const std::string& id, int64_t started_at_ms = 1000) {
    UpstreamAnnouncement upstream;
    upstream.service = "orders";
    upstream.slots = 4;
    upstream.state = UpstreamState::kServing;
    upstream.id = id;
    upstream.started_at_ms = started_at_ms;
    harness_.owner->SetUpstream(upstream, {}, harness_.clock.now);
  }

  bool Logged(const std::string& line) const {
    return harness_.recorder.log.find(line) != std::string::npos;
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 4};
};

TEST_F(AnOwnerWhoseUpstreamIsReplaced, ReportsTheOneDownThatItProbed) {
  ASSERT_TRUE(Logged("upstream is probed"));
  harness_.owner->OnProbed(false, harness_.clock.now);
  EXPECT_TRUE(Logged("upstream is down"));
}

TEST_F(AnOwnerWhoseUpstreamIsReplaced, SendsRequestsToTheNewOneAtOnce) {
  Announce("i-2");
  harness_.Start("next", "", true);
  EXPECT_FALSE(harness_.recorder.refused.contains("next"));
  EXPECT_TRUE(harness_.recorder.started.contains(2));
}

TEST_F(AnOwnerWhoseUpstreamIsReplaced, DoesNotTakeTheOldOnesDeathForItsOwn) {
  Announce("i-2");
  harness_.owner->OnProbed(false, harness_.clock.now);
  EXPECT_FALSE(Logged("upstream is down"));
  harness_.Start("next", "", true);
  EXPECT_TRUE(harness_.recorder.started.contains(2));
}

class AnOwnerToldOfAReplacement : public AnOwnerWhoseUpstreamIsReplaced {
 protected:
  AnOwnerToldOfAReplacement() {
    Announce("i-2");
    harness_.Start("running", "", true);
    harness_.Start("other", "", true, "another");
    for (int i = 0; i < 3; ++i) harness_.Start("q" + std::to_string(i), "");
    Reject(2);
  }

  /// The upstream at the address says that it isn't the one expected.
  void Reject(RunId run) {
    harness_.owner->OnRunFailed(
        run, {RunProgress::kRejected, false, "rejected", true},
        harness_.clock.now);
  }

  bool Serves(const std::string& attempt) {
    harness_.Start(attempt, "", true, attempt);
    return !harness_.recorder.refused.contains(attempt);
  }
};

TEST_F(AnOwnerToldOfAReplacement, SaysThatTheUpstreamWasReached) {
  EXPECT_TRUE(Logged("running refused 5010 not-run"));
  EXPECT_TRUE(Logged("upstream is down"));
}

TEST_F(AnOwnerToldOfAReplacement, SaysThatItDoesNotServe) {
  EXPECT_FALSE(harness_.recorder.load.serving);
  harness_.Wait(milliseconds(500));
  EXPECT_FALSE(Serves("late"));
  EXPECT_FALSE(harness_.recorder.load.serving);
}

TEST_F(AnOwnerToldOfAReplacement, IgnoresRenewalsOfTheOneThatWasReplaced) {
  Announce("i-2");
  EXPECT_FALSE(Serves("renewed"));
  harness_.owner->SetUpstream(std::nullopt, {}, harness_.clock.now);
  Announce("i-2");
  EXPECT_FALSE(Serves("registered again"));
}

TEST_F(AnOwnerToldOfAReplacement, TakesTheNextOne) {
  Announce("i-3");
  EXPECT_TRUE(Serves("next"));
  Reject(3);  // Was sent to i-2.
  EXPECT_TRUE(Serves("another"));
}

TEST_F(AnOwnerToldOfAReplacement, TakesALaterStartOfTheSameId) {
  Announce("i-2", 2000);
  EXPECT_TRUE(Serves("next"));
}

TEST_F(AnOwnerWhoseUpstreamIsReplaced, KeepsItsStateOnARenewal) {
  Announce("i-1");
  harness_.Start("next", "", true);
  EXPECT_EQ(harness_.recorder.refused.at("next"), Certainty::kNotRun);
}

/// The address of the upstream has been taken by another one, which rejects
/// what it is sent.
TEST(AnOwnerWhoseUpstreamWasReplaced, SendsNothingToTheOtherOne) {
  ClaimLedger ledger;
  OwnerHarness harness("o1", ledger);
  RunFailure rejected;
  rejected.progress = RunProgress::kRejected;
  rejected.other_upstream = true;
  harness.Start("first", "", true);
  harness.owner->OnRunFailed(1, rejected, harness.clock.now);
  harness.recorder.started.clear();
  harness.Wait(milliseconds(100));
  harness.Start("second", "", true, "another");
  EXPECT_TRUE(harness.recorder.started.empty());
  EXPECT_EQ(harness.recorder.refused.at("first"), Certainty::kNotRun);
  EXPECT_TRUE(harness.recorder.refused.contains("second"));
}

}  // namespace
}  // namespace hibiscusglade
