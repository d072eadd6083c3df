#include "rollouts/rollout_tally.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AnEntrysTally : public testing::Test {
 protected:
  void End(bool target, bool failed, int times = 1) {
    RolloutOutcome outcome{"orders", rollout_.order,  "r", target, "i",
                           failed,   milliseconds(90)};
    for (int i = 0; i < times; ++i) tally_.OnEnded(outcome, now_);
  }
  OutcomeCounts Target() {
    return tally_.CountsOf("orders", rollout_.order)[{"r", true, "i"}];
  }
  bool Brakes() {
    rollout_.service = "orders";
    return tally_.Brakes(rollout_);
  }

  Instant now_ = Instant(seconds(1000));
  Rollout rollout_;
  RolloutTally tally_;
};

TEST_F(AnEntrysTally, TakesNoLatencyOfAnUpstreamThatIsCold) {
  rollout_.order = 1;
  End(true, false);
  now_ += seconds(3);
  End(true, false);
  EXPECT_EQ(Target().requests, 2u);
  EXPECT_EQ(Target().latencies[LatencyClassOf(milliseconds(90))], 1u);
}

TEST_F(AnEntrysTally, BrakesUntilTheNextStepWhenTheTargetAloneFails) {
  rollout_.order = rollout_.step = 1;
  EXPECT_FALSE(Brakes());
  End(false, false, 100);
  EXPECT_FALSE(Brakes());
  End(true, true, 5);
  EXPECT_TRUE(Brakes());
  ++rollout_.step;
  EXPECT_FALSE(Brakes());
}

TEST_F(AnEntrysTally, DoesNotBrakeWhenAllFail) {
  rollout_.order = rollout_.step = 1;
  EXPECT_FALSE(Brakes());
  End(false, true, 50);
  End(true, true, 10);
  EXPECT_FALSE(Brakes());
}

TEST_F(AnEntrysTally, BeginsAnewWithEachOrder) {
  rollout_.order = 1;
  End(true, true, 5);
  rollout_.order = 2;
  End(true, false);
  EXPECT_EQ(Target().failures, 0u);
  EXPECT_TRUE(tally_.CountsOf("orders", 1).empty());
}

}  // namespace
}  // namespace hibiscusglade
