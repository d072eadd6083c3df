#include <gtest/gtest.h>

#include "owner/internal/job.h"
#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

class AnOwnerThatLearnsOfASuspicion : public testing::Test {
 protected:
  void Blame(const std::string& body, uint32_t blames) {
    CallRequest request;
    request.method = "POST";
    request.target = "/deposits";
    request.body = body;
    harness_.quarantine->OnNotice(
        {FingerprintOf(request), blames, std::chrono::minutes(1)},
        harness_.clock.now);
  }
  void Hold(bool hold) { harness_.owner->HoldRuns(hold, harness_.clock.now); }
  bool Refused(const std::string& attempt) {
    return harness_.recorder.refused.contains(attempt);
  }
  size_t Started() { return harness_.recorder.started.size(); }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 3};
};

TEST_F(AnOwnerThatLearnsOfASuspicion, StartsNothingBeforeItKnows) {
  Hold(true);
  harness_.Start("good", "", true, "good");
  harness_.Start("bad", "", true, "bad");
  harness_.Start("odd", "", true, "odd");
  EXPECT_EQ(Started(), 0u);
  Blame("bad", 2);
  Blame("odd", 1);
  Hold(false);
  EXPECT_EQ(Started(), 1u);
  EXPECT_EQ(harness_.recorder.refused.at("bad"), Certainty::kNotRun);
  harness_.Answer(1);
  EXPECT_EQ(Started(), 1u);
  EXPECT_EQ(harness_.recorder.started.begin()->second.id, "odd");
}

TEST_F(AnOwnerThatLearnsOfASuspicion, RefusesWhatIsHeldAtItsDeadline) {
  Hold(true);
  harness_.Start("late", "", true, "late");
  harness_.Wait(std::chrono::seconds(2));
  EXPECT_EQ(harness_.recorder.refused.at("late"), Certainty::kNotRun);
  Hold(false);
  EXPECT_EQ(Started(), 0u);
}

// Guards against a request that waits for a slot while it is quarantined.
TEST_F(AnOwnerThatLearnsOfASuspicion, RefusesWhatWaitsForASlot) {
  for (const char* attempt : {"r1", "r2", "r3"}) {
    harness_.Start(attempt, "", true, attempt);
  }
  harness_.Start("bad", "", true, "bad");
  harness_.Start("good", "", true, "good");
  Blame("bad", 2);
  EXPECT_FALSE(Refused("bad"));
  harness_.Answer(1);
  EXPECT_EQ(harness_.recorder.refused.at("bad"), Certainty::kNotRun);
  EXPECT_EQ(Started(), 3u);
}

}  // namespace
}  // namespace hibiscusglade
