#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "owner/internal/job.h"
#include "owner/tests/owner_fixture.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStopsTooSoon[] = "refused 4011 not-run";
constexpr char kCutByStop[] = "refused 4012 unknown";

/// An owner with one slot whose daemon is told to stop. Attempts have two
/// seconds until their deadlines.
class AnOwnerOfAStoppingDaemon : public testing::Test {
 protected:
  void BeginStop(Duration timeout) {
    harness_.owner->BeginStop(harness_.clock.now + timeout, harness_.clock.now);
  }

  bool Logged(const std::string& line) const {
    return harness_.recorder.log.find(line) != std::string::npos;
  }

  bool Runs(const std::string& attempt) const {
    return std::ranges::any_of(harness_.recorder.started, [&](const auto& run) {
      return run.second.id == attempt;
    });
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 1};
};

/// Attempts sent late in the grace were run, and cut when the process ended.
TEST_F(AnOwnerOfAStoppingDaemon, RunsOnlyWhatEndsBeforeItsOwnEnd) {
  BeginStop(seconds(5));
  for (int at_ms = 0; at_ms < 5000; at_ms += 500) {
    const std::string attempt = "at " + std::to_string(at_ms);
    harness_.Start(attempt, "", true);
    const bool fits = at_ms <= 3000;
    EXPECT_EQ(Runs(attempt), fits) << attempt;
    EXPECT_EQ(Logged(attempt + " " + kStopsTooSoon), !fits) << attempt;
    if (fits) harness_.Answer(harness_.recorder.started.begin()->first);
    harness_.Wait(milliseconds(500));
  }
  EXPECT_TRUE(harness_.owner->Idle());
}

TEST_F(AnOwnerOfAStoppingDaemon, RefusesWhatIsQueuedIfItCouldRunAtTheEnd) {
  harness_.Start("running", "", true);
  harness_.Start("queued", "", true);
  BeginStop(milliseconds(1900));
  EXPECT_TRUE(Logged(std::string("queued ") + kStopsTooSoon));
  harness_.Answer(1);
  EXPECT_TRUE(harness_.recorder.started.empty());
  EXPECT_TRUE(harness_.owner->Idle());
}

TEST_F(AnOwnerOfAStoppingDaemon, RunsWhatIsQueuedIfItFits) {
  harness_.Start("running", "", true);
  harness_.Start("queued", "", true);
  BeginStop(seconds(2));
  harness_.Answer(1);
  EXPECT_TRUE(Runs("queued"));
}

TEST_F(AnOwnerOfAStoppingDaemon, RevokesAClaimThatIsGrantedTooLate) {
  harness_.Start("deposit", "key");
  BeginStop(seconds(1));
  harness_.store.DeliverNext(Delivery::kAnswered);
  EXPECT_TRUE(harness_.recorder.started.empty());
  harness_.store.DeliverNext(Delivery::kAnswered);
  EXPECT_TRUE(Logged(std::string("deposit ") + kStopsTooSoon));
  EXPECT_TRUE(harness_.owner->Idle());
}

TEST_F(AnOwnerOfAStoppingDaemon, RefusesWhatWaitsBehindASuspect) {
  OwnerHarness harness("o2", ledger_, 4);
  harness.Start("running", "", true, "harmless");
  const Digest suspect = FingerprintOf(harness.recorder.started.at(1).request);
  harness.quarantine->OnUpstreamDeath({suspect, 0}, 2, harness.clock.now);
  harness.Start("suspect", "", true, "harmless");
  harness.Start("next", "", true, "another");
  harness.owner->BeginStop(harness.clock.now + seconds(1), harness.clock.now);
  EXPECT_EQ(harness.recorder.refused.at("suspect"), Certainty::kNotRun);
  EXPECT_EQ(harness.recorder.refused.at("next"), Certainty::kNotRun);
  harness.Answer(1);
  EXPECT_TRUE(harness.recorder.started.empty());
}

TEST_F(AnOwnerOfAStoppingDaemon, SaysUnknownOfWhatStillRunsAtTheEnd) {
  harness_.Start("running", "", true);
  BeginStop(seconds(1));
  harness_.Wait(seconds(1));
  const auto cut = harness_.owner->CutOpenAttempts(harness_.clock.now);
  EXPECT_TRUE(Logged(std::string("running ") + kCutByStop));
  ASSERT_EQ(cut.size(), 1U);
  EXPECT_EQ(cut[0].running, seconds(1));
  EXPECT_EQ(cut[0].remaining, seconds(1));
  EXPECT_TRUE(harness_.owner->Idle());
}

TEST_F(AnOwnerOfAStoppingDaemon, SendsAnAnswerThatTheLedgerHasNotStored) {
  harness_.Start("deposit", "key");
  harness_.store.DeliverNext(Delivery::kAnswered);
  harness_.Answer(1);
  ASSERT_FALSE(Logged("deposit head 200"));
  EXPECT_TRUE(harness_.owner->CutOpenAttempts(harness_.clock.now).empty());
  EXPECT_TRUE(Logged("deposit head 200"));
}

}  // namespace
}  // namespace hibiscusglade
