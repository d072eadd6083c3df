#include "routing/flow_router.h"

#include <gtest/gtest.h>

#include "routing/upstream_chooser.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry in failure domain a with two upstreams in each of a, b and c.
class AnEntryWithAPlan : public testing::Test {
 protected:
  AnEntryWithAPlan() {
    for (const char* name : {"a0", "a1", "b0", "b1", "c0", "c1"}) {
      UpstreamTarget target;
      target.instance = name;
      target.failure_domain = name[0];
      target.slots = 6;
      targets_.push_back(target);
    }
    ChooserConfig config;
    config.instance = "a0-entry";
    config.failure_domain = "a";
    config.flows = &router_;
    chooser_ = MakeUpstreamChooser(config);
  }

  /// @return failure domain of the choice; empty: none.
  std::string Choose(const std::set<std::string>& tried = {}) {
    const auto choice =
        chooser_->Choose({targets_, "store", "short", tried, 0}, now_);
    return choice ? targets_[choice->index].failure_domain : "";
  }

  std::map<std::string, int> Count(int calls) {
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) ++counts[Choose()];
    return counts;
  }

  /// All upstreams of the own domain have full queues.
  void SaturateHome() {
    for (const char* name : {"a0", "a1"}) {
      chooser_->OnLoad(name, "short", {6, 60, 6, milliseconds(50), true}, now_);
    }
  }

  Instant now_ = Instant(seconds(1000));
  FlowRouter router_{7};
  std::vector<UpstreamTarget> targets_;
  std::unique_ptr<UpstreamChooser> chooser_;
};

TEST_F(AnEntryWithAPlan, SendsItsSharesOutsideAndTheRestHome) {
  router_.SetPlan("store", {{{"b", {0.25, true}}, {"c", {0.1, false}}}}, now_);
  const auto counts = Count(1000);
  EXPECT_NEAR(counts.at("b"), 250, 2);
  EXPECT_NEAR(counts.at("c"), 100, 2);
}

TEST_F(AnEntryWithAPlan, StaysHomeThoughSaturatedWhenThePlanKnowsNoRoom) {
  SaturateHome();
  router_.SetPlan("store", {}, now_);
  EXPECT_EQ(Count(50).at("a"), 50);
}

TEST_F(AnEntryWithAPlan, SendsABurstBeyondItsSharesOnlyWhereThereIsRoom) {
  router_.SetPlan("store", {{{"b", {0, true}}, {"c", {0, false}}}}, now_);
  EXPECT_EQ(Count(50).at("a"), 50);
  SaturateHome();
  EXPECT_EQ(Count(50).at("b"), 50);
}

TEST_F(AnEntryWithAPlan, TriesARefusedCallOnlyWhereThereIsRoom) {
  SaturateHome();
  router_.SetPlan("store", {{{"b", {0, true}}, {"c", {0, false}}}}, now_);
  EXPECT_EQ(Choose({"a0"}), "b");
  EXPECT_EQ(Choose({"a0", "a1"}), "b");
  EXPECT_EQ(Choose({"a0", "a1", "b0", "b1"}), "");
}

// Calls were refused as if there were no upstream, without a pause.
TEST_F(AnEntryWithAPlan, KnowsHowLongAFullHomeIsToBeLeftAlone) {
  router_.SetPlan("store", {}, now_);
  for (const char* name : {"a0", "a1"}) {
    for (int i = 0; i < 8; ++i) {
      chooser_->OnCapacityRefusal(name, "short", now_);
    }
  }
  EXPECT_EQ(Choose(), "");
  const std::set<std::string> tried;
  const auto pause =
      chooser_->RemainingBackoff({targets_, "store", "short", tried, 0}, now_);
  ASSERT_TRUE(pause.has_value());
  EXPECT_GT(*pause, Duration{});
}

TEST_F(AnEntryWithAPlan, ReactsAsWithoutOneOnceItIsOutOfDate) {
  SaturateHome();
  router_.SetPlan("store", {}, now_);
  EXPECT_EQ(Choose(), "a");
  now_ += milliseconds(1600);
  SaturateHome();
  EXPECT_NE(Choose(), "a");
}

TEST_F(AnEntryWithAPlan, MeasuresItsDemandAndWhetherHomeIsPressed) {
  router_.MeasureDemand(now_);
  for (int window = 0; window < 8; ++window) {
    Count(50);
    now_ += milliseconds(500);
    if (window < 7) router_.MeasureDemand(now_);
  }
  std::vector<EntryDemand> demand = router_.MeasureDemand(now_);
  ASSERT_EQ(demand.size(), 1U);
  EXPECT_NEAR(demand[0].rate, 100, 2);
  EXPECT_FALSE(demand[0].pressed);
  SaturateHome();
  Choose();
  now_ += milliseconds(500);
  demand = router_.MeasureDemand(now_);
  EXPECT_TRUE(demand[0].pressed);
}

TEST(EntriesWithOnePlan, SendItsFlowTogetherAndNotEachTheWhole) {
  const Instant now(seconds(1000));
  int sent = 0;
  for (uint64_t seed = 0; seed < 200; ++seed) {
    FlowRouter router(seed);
    router.SetPlan("store", {{{"b", {0.3, true}}}}, now);
    sent += router.NextDomain("store", now).empty() ? 0 : 1;
  }
  EXPECT_NEAR(sent, 60, 20) << "of 200 entries' first calls";
}

}  // namespace
}  // namespace hibiscusglade
