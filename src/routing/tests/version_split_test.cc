#include "routing/version_split.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

class ARollout : public testing::Test {
 protected:
  ARollout() {
    rollout_.service = "orders";
    rollout_.target_version = "v2";
    rollout_.order = 3;
    all_ = Upstreams({{"a", "v1"}, {"b", "v2"}, {"c", ""}});
  }

  static UpstreamListPtr Upstreams(
      const std::vector<std::pair<std::string, std::string>>& rows) {
    std::vector<UpstreamTarget> upstreams;
    for (const auto& [instance, version] : rows) {
      upstreams.push_back({instance, "dom", "", 1, 1, version});
    }
    return std::make_shared<const std::vector<UpstreamTarget>>(upstreams);
  }
  static std::string Names(const UpstreamListPtr& upstreams) {
    std::string names;
    if (upstreams == nullptr) return "-";
    for (const UpstreamTarget& target : *upstreams) names += target.instance;
    return names;
  }

  /// @return how many of the requests were for the target version.
  int TargetsOf(int requests, VersionSplit& split,
                std::optional<Duration> confirmed_ago = Duration{},
                bool braked = false) {
    int targets = 0;
    for (int i = 0; i < requests; ++i) {
      const auto picked = split.Pick(all_, &rollout_, confirmed_ago, braked);
      if (Names(picked.upstreams) == "b") {
        EXPECT_EQ(Names(picked.others), "ac");
        ++targets;
      } else {
        EXPECT_EQ(Names(picked.upstreams), "ac");
        EXPECT_EQ(picked.others, nullptr);
      }
    }
    return targets;
  }

  Rollout rollout_;
  UpstreamListPtr all_;
  VersionSplit split_{7};
};

TEST_F(ARollout, ThatWasNeverOrderedSplitsNothing) {
  EXPECT_EQ(split_.Pick(all_, nullptr, {}, false).upstreams, all_);
}

TEST_F(ARollout, GivesTheTargetItsShareOfEveryStretch) {
  EXPECT_EQ(TargetsOf(500, split_), 0);
  rollout_.share_permille = 40;
  ++rollout_.step;
  for (int stretch = 0; stretch < 10; ++stretch) {
    EXPECT_EQ(TargetsOf(25, split_), 1);
  }
  rollout_.share_permille = 1000;
  EXPECT_EQ(TargetsOf(100, split_), 100);
}

TEST_F(ARollout, HoldsTheShareOverManyDaemonsOfFewRequests) {
  rollout_.share_permille = 40;
  int targets = 0;
  for (uint64_t daemon = 0; daemon < 67; ++daemon) {
    VersionSplit split(daemon);
    targets += TargetsOf(5, split);
  }
  EXPECT_GE(targets, 5);
  EXPECT_LE(targets, 24);
}

TEST_F(ARollout, GivesNothingWhereTheEntryBrakesAndLittleWhereNobodyIsHeard) {
  rollout_.share_permille = 500;
  EXPECT_EQ(TargetsOf(1000, split_, Duration{}, true), 0);
  EXPECT_LE(TargetsOf(1000, split_, seconds(5)), 41);
  EXPECT_LE(TargetsOf(1000, split_, std::nullopt), 41);
}

TEST_F(ARollout, WithoutUpstreamsOfTheTargetGivesAllToTheOthers) {
  rollout_.share_permille = 500;
  all_ = Upstreams({{"a", "v1"}, {"c", ""}});
  EXPECT_EQ(TargetsOf(100, split_), 0);
}

TEST_F(ARollout, ThatClosesTheOthersLeavesThoseThatCameLater) {
  rollout_.closes_others = true;
  rollout_.replaced_versions = {"", "v1"};
  EXPECT_EQ(Names(split_.Pick(all_, &rollout_, {}, false).upstreams), "b");
  rollout_.stage = RolloutStage::kCompleted;
  all_ = Upstreams({{"a", "v1"}, {"b", "v2"}, {"d", "v3"}});
  EXPECT_EQ(Names(split_.Pick(all_, &rollout_, {}, false).upstreams), "bd");
}

TEST_F(ARollout, ThatWasRolledBackSendsTheTargetNothing) {
  rollout_.stage = RolloutStage::kRolledBack;
  EXPECT_EQ(Names(split_.Pick(all_, &rollout_, {}, false).upstreams), "ac");
}

}  // namespace
}  // namespace hibiscusglade
