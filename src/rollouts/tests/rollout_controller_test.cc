#include "rollouts/rollout_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replays a load against the controller: 784 requests a second on four routes,
/// steps of 100 ms, counts that reach it half a second late.
class ARolloutOfTwelveSeconds : public testing::Test {
 protected:
  ARolloutOfTwelveSeconds() {
    view_.recorded.service = "orders";
    view_.recorded.target_version = "v2";
    view_.recorded.order = 1;
    view_.recorded.duration = seconds(12);
    view_.target_ready = 10;
    view_.target_slots = view_.others_slots = 180;
    view_.daemons = view_.daemons_heard = 73;
    view_.others_open = 5;
    view_.other_versions = {"v1"};
  }

  /// How requests end, from now on.
  struct Behaviour {
    int target_fails_of_100 = 0;
    int others_fail_of_100 = 0;
    int64_t target_ms = 90;
    int64_t others_ms = 90;
    int only_route = -1;     ///< On which the target is worse.
    int only_instance = -1;  ///< At which it is worse.
  };

  void RunUntil(seconds end) {
    while (view_.since_order < end &&
           view_.recorded.stage == RolloutStage::kRunning) {
      view_.since_order += milliseconds(100);
      for (int i = 0; i < requests_per_step_; ++i) Request();
      history_.push_back(counts_);
      if (history_.size() > 5) view_.counts = history_[history_.size() - 6];
      if (auto next = controller_.Next(view_)) {
        EXPECT_EQ(next->step, view_.recorded.step + 1);
        EXPECT_TRUE(next->share_permille >= view_.recorded.share_permille ||
                    next->stage == RolloutStage::kRolledBack);
        view_.recorded = *next;
      }
      if (view_.recorded.closes_others) {
        view_.others_open -= view_.others_open > 0 ? 1 : 0;
      }
    }
  }

  void Request() {
    ++requests_;
    const int route = requests_ % 4;
    credit_ += view_.recorded.share_permille;
    const bool target = credit_ >= 1000 && view_.target_ready > 0;
    if (target) credit_ -= 1000;
    targets_ += target ? 1 : 0;
    const int instance = targets_ % 10;
    const bool worse =
        target &&
        (behaviour_.only_route < 0 || behaviour_.only_route == route) &&
        (behaviour_.only_instance < 0 || behaviour_.only_instance == instance);
    const int fails =
        worse ? behaviour_.target_fails_of_100 : behaviour_.others_fail_of_100;
    const int64_t ms = worse ? behaviour_.target_ms : behaviour_.others_ms;
    random_ = random_ * 1103515245 + 12345;
    const bool failed = static_cast<int>(random_ >> 16U) % 100 < fails;
    OutcomeCounts one;
    one.requests = 1;
    one.failures = failed ? 1 : 0;
    if (!failed) one.latencies[LatencyClassOf(milliseconds(ms))] = 1;
    counts_[{"r" + std::to_string(route), target,
             target ? std::to_string(instance) : ""}] += one;
  }

  RolloutStage Stage() const { return view_.recorded.stage; }
  /// @return whether the target got at most half of what it may get.
  bool ExposedLittle() const { return targets_ <= 784 * 12 / 20 + 50; }

  RolloutController controller_;
  RolloutView view_;
  Behaviour behaviour_;
  int requests_per_step_ = 78;
  int requests_ = 0;
  int targets_ = 0;
  uint32_t credit_ = 0;
  uint32_t random_ = 1;
  OutcomeMap counts_;
  std::vector<OutcomeMap> history_;
};

TEST_F(ARolloutOfTwelveSeconds, CompletesAGoodVersionInTime) {
  RunUntil(seconds(11));
  EXPECT_EQ(Stage(), RolloutStage::kCompleted) << view_.recorded.reason;
  EXPECT_EQ(view_.recorded.replaced_versions, std::vector<std::string>{"v1"});
}

TEST_F(ARolloutOfTwelveSeconds, TakesABadVersionBackAtOnce) {
  behaviour_.target_fails_of_100 = 30;
  RunUntil(seconds(12));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_NE(view_.recorded.reason.find("failed"), std::string::npos);
  EXPECT_LT(targets_, 100);
}

TEST_F(ARolloutOfTwelveSeconds, TakesBackWhatTurnsBadLater) {
  RunUntil(seconds(6));
  behaviour_.target_fails_of_100 = 30;
  RunUntil(seconds(12));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_TRUE(ExposedLittle()) << targets_;
}

TEST_F(ARolloutOfTwelveSeconds, TakesBackWhatIsBadOnOneRouteOfFour) {
  behaviour_.target_fails_of_100 = 40;
  behaviour_.only_route = 2;
  RunUntil(seconds(12));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_NE(view_.recorded.reason.find("route r2"), std::string::npos);
  EXPECT_TRUE(ExposedLittle()) << targets_;
}

/// It shows only in the last steps, when most of the exposure is spent.
TEST_F(ARolloutOfTwelveSeconds, TakesBackWhatIsBadUnderLoadOnly) {
  while (view_.recorded.share_permille < 250) {
    RunUntil(seconds(view_.since_order.count() / 1'000'000 + 1));
  }
  behaviour_.target_fails_of_100 = 30;
  RunUntil(seconds(12));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_LE(targets_, 784 * 12 / 10 + 50);
}

TEST_F(ARolloutOfTwelveSeconds, TakesBackWhatIsSeveralTimesSlower) {
  behaviour_.target_ms = 400;
  RunUntil(seconds(12));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_NE(view_.recorded.reason.find("slow"), std::string::npos);
  EXPECT_TRUE(ExposedLittle()) << targets_;
}

TEST_F(ARolloutOfTwelveSeconds, CondemnsNobodyWhenAllAreDisturbed) {
  RunUntil(seconds(2));
  behaviour_ = {25, 25, 700, 700, -1, -1};
  RunUntil(seconds(5));
  behaviour_ = {};
  RunUntil(seconds(7));
  behaviour_ = {20, 20, 400, 400, -1, -1};
  RunUntil(seconds(11));
  EXPECT_EQ(Stage(), RolloutStage::kCompleted) << view_.recorded.reason;
}

TEST_F(ARolloutOfTwelveSeconds, CondemnsNobodyForOneUpstreamOfTen) {
  behaviour_ = {50, 0, 700, 90, -1, 3};
  RunUntil(seconds(11));
  EXPECT_EQ(Stage(), RolloutStage::kCompleted) << view_.recorded.reason;
}

TEST_F(ARolloutOfTwelveSeconds, GoesOnByTimeWithoutTraffic) {
  requests_per_step_ = 0;
  RunUntil(seconds(11));
  EXPECT_EQ(Stage(), RolloutStage::kCompleted);
}

TEST_F(ARolloutOfTwelveSeconds, IsTakenBackWhenNoUpstreamComes) {
  view_.target_ready = 0;
  RunUntil(seconds(8));
  EXPECT_EQ(view_.recorded.share_permille, 0u);
  RunUntil(seconds(11));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
}

TEST_F(ARolloutOfTwelveSeconds, IsCompletedWhenItsUpstreamsComeLate) {
  view_.target_ready = 0;
  RunUntil(seconds(4));
  view_.target_ready = 10;
  RunUntil(seconds(12));
  EXPECT_EQ(Stage(), RolloutStage::kCompleted);
}

TEST_F(ARolloutOfTwelveSeconds, KeepsItsShareWhileMostDaemonsAreSilent) {
  RunUntil(seconds(2));
  view_.daemons_heard = 30;
  RunUntil(seconds(8));
  EXPECT_EQ(view_.recorded.share_permille, 40u);
}

/// A leader is replaced at any time; the next one has the record alone.
RC_GTEST_FIXTURE_PROP(ARolloutOfTwelveSeconds, SurvivesChangesOfTheLeader, ()) {
  const auto changes =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 11));
  for (int second = 1; second <= 12; ++second) {
    RunUntil(seconds(second));
    if (std::ranges::count(changes, second) > 0) controller_ = {};
    if (Stage() == RolloutStage::kCompleted) RC_ASSERT(view_.others_open == 0u);
  }
  RC_ASSERT(Stage() == RolloutStage::kCompleted);
}

}  // namespace
}  // namespace hibiscusglade
