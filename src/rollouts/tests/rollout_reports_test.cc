#include "rollouts/rollout_reports.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

class ALeadersView : public testing::Test {
 protected:
  ALeadersView() {
    recorded_.service = "orders";
    recorded_.target_version = "v2";
    recorded_.order = 5;
    recorded_.step = 7;
    recorded_.closes_others = true;
    for (const auto& [name, version] :
         {std::pair{"a", "v1"}, {"b", "v1"}, {"c", "v2"}}) {
      InstanceRecord record;
      record.instance = name;
      record.incarnation = 3;
      record.service = "orders";
      record.slots = 4;
      record.upstream_state = UpstreamState::kServing;
      record.upstream_version = version;
      records_.push_back(record);
    }
  }

  void Report(const std::string& sender, uint64_t step, LocalRuns local,
              uint64_t requests = 0, uint64_t incarnation = 3) {
    RolloutReport report{"orders", 5, step, {}, local};
    report.counts[{"r", false, ""}].requests = requests;
    reports_.Add(sender, incarnation, report, now_);
  }
  RolloutView View() {
    return reports_.ViewOf(recorded_, records_, seconds(4), now_);
  }

  Instant now_ = Instant(seconds(1000));
  Rollout recorded_;
  std::vector<InstanceRecord> records_;
  RolloutReports reports_;
};

TEST_F(ALeadersView, HasTheOthersOpenUntilEachSaysThatNothingRunsThere) {
  EXPECT_EQ(View().others_open, 2u);
  Report("a", 7, {true, 0});
  EXPECT_EQ(View().others_open, 1u);
  Report("b", 7, {true, 2});
  EXPECT_EQ(View().others_open, 1u);
  Report("b", 6, {true, 0});
  EXPECT_EQ(View().others_open, 1u);
  Report("b", 7, {true, 0});
  EXPECT_EQ(View().others_open, 0u);
}

TEST_F(ALeadersView, WaitsForNoUpstreamThatIsGone) {
  records_[0].state = InstanceState::kDead;
  records_[1].upstream_state = UpstreamState::kNone;
  EXPECT_EQ(View().others_open, 0u);
  records_[1].upstream_state = UpstreamState::kDraining;
  EXPECT_EQ(View().others_open, 1u);
}

TEST_F(ALeadersView, CountsWhatARestartedDaemonSawBefore) {
  Report("a", 7, {}, 10);
  Report("a", 7, {}, 15);
  Report("a", 7, {}, 2, 4);
  Report("a", 7, {}, 99, 3);
  EXPECT_EQ((View().counts[{"r", false, ""}].requests), 17u);
}

TEST_F(ALeadersView, HearsOnlyLateReports) {
  Report("a", 7, {});
  EXPECT_EQ(View().daemons, 3u);
  EXPECT_EQ(View().daemons_heard, 1u);
  now_ += seconds(3);
  EXPECT_EQ(View().daemons_heard, 0u);
}

TEST_F(ALeadersView, ForgetsTheReportsOfAnEarlierOrder) {
  Report("a", 7, {true, 0}, 10);
  recorded_.order = 6;
  EXPECT_EQ(View().others_open, 2u);
  EXPECT_TRUE(View().counts.empty());
}

}  // namespace
}  // namespace hibiscusglade
