#include <gtest/gtest.h>

#include "control/internal/control_codec.h"
#include "control/internal/control_views.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

class AnUpstreamOfTheOldVersion : public testing::Test {
 protected:
  AnUpstreamOfTheOldVersion() {
    upstream_.service = "orders";
    upstream_.software_version = "v1";
    rollout_.service = "orders";
    rollout_.target_version = "v2";
  }
  bool Drains() const {
    return ClosedByRollout(upstream_, {{"orders", rollout_}})->state ==
           UpstreamState::kDraining;
  }

  UpstreamAnnouncement upstream_;
  Rollout rollout_;
};

TEST_F(AnUpstreamOfTheOldVersion, IsClosedOnlyByTheStepThatReplacesIt) {
  EXPECT_FALSE(Drains());
  rollout_.share_permille = 1000;
  EXPECT_FALSE(Drains());
  rollout_.closes_others = true;
  rollout_.replaced_versions = {"v1"};
  EXPECT_TRUE(Drains());
  rollout_.stage = RolloutStage::kCompleted;
  EXPECT_TRUE(Drains());
  upstream_.software_version = "v2";
  EXPECT_FALSE(Drains());
}

TEST_F(AnUpstreamOfTheOldVersion, StaysOpenWhenTheNewOneIsRolledBack) {
  rollout_.stage = RolloutStage::kRolledBack;
  EXPECT_FALSE(Drains());
  upstream_.software_version = "v2";
  EXPECT_TRUE(Drains());
}

TEST_F(AnUpstreamOfTheOldVersion, IsNotConcernedByRolloutsOfOtherServices) {
  rollout_.stage = RolloutStage::kRolledBack;
  upstream_.service = "payments";
  upstream_.software_version = "v2";
  EXPECT_FALSE(Drains());
  EXPECT_EQ(ClosedByRollout(std::nullopt, {{"orders", rollout_}}),
            std::nullopt);
}

TEST_F(AnUpstreamOfTheOldVersion, IsToldOfInNoticesWhole) {
  rollout_.order = 3;
  rollout_.step = 2;
  rollout_.duration = std::chrono::seconds(12);
  rollout_.closes_others = true;
  rollout_.replaced_versions = {"", "v1"};
  rollout_.reason = "the others are closed";
  VersionNotice notice;
  notice.rollouts = {9, {{"orders", rollout_}}};
  wire::Envelope message;
  ToWire(DistributionMessage(notice), message);
  EXPECT_EQ(std::get<VersionNotice>(*DistributionFromWire(message)), notice);
}

}  // namespace
}  // namespace hibiscusglade
