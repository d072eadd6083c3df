#include "distribution/version_follower.h"

#include <gtest/gtest.h>

#include "versions/config_reader.h"

namespace hibiscusglade {
namespace {

ConfigVersionPtr VersionWith(uint64_t number, const std::string& service) {
  std::vector<SettingsFault> faults;
  const std::string patch =
      R"([{"op":"add","path":"/services/)" + service + R"(","value":{}}])";
  auto text = ApplyPatch(EmptyConfigVersion()->text, patch, faults);
  return MakeConfigVersion(number, number - 1, *text, patch, faults);
}

class AFollower : public testing::Test {
 protected:
  static FollowerConfig ConfigOf(const std::string& name) {
    FollowerConfig config;
    config.instance = name;
    config.replicas = {"r1", "r2", "r3"};
    return config;
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  std::unique_ptr<VersionFollower> follower_ =
      MakeVersionFollower(ConfigOf("x"), 1, now_);
};

class ARestartedFollower : public AFollower {};

TEST_F(ARestartedFollower, UsesNothingBeforeAMajorityConfirmedTheFloor) {
  auto asked = follower_->OnTick(now_).send;
  ASSERT_EQ(asked.size(), 3u);
  follower_->OnMessage("r1", FloorAnswer{1, 1, true, true, 0}, now_);
  EXPECT_FALSE(follower_->FloorKnown());
  follower_->OnMessage("r2", FloorAnswer{1, 0, true, true, 0}, now_);
  EXPECT_TRUE(follower_->FloorKnown());
  EXPECT_EQ(follower_->InUse(), nullptr);
  auto effects = follower_->OnCommitted(VersionWith(1, "plots"), now_);
  ASSERT_NE(effects.activate, nullptr);
  EXPECT_EQ(effects.activate->number, 1u);
}

class AFollowerWithAFloor : public AFollower {
 protected:
  AFollowerWithAFloor() { follower_->OnReplicaCurrent(0, now_); }
};

TEST_F(AFollowerWithAFloor, PullsFromThePeerThatIsAhead) {
  auto source = MakeVersionFollower(ConfigOf("y"), 2, now_);
  source->OnCommitted(VersionWith(1, "plots"), now_);
  auto pull = follower_->OnMessage(
      "y", VersionNotice{1, VersionWith(1, "plots")->digest}, now_);
  ASSERT_EQ(pull.send.size(), 1u);
  auto answer = source->OnMessage("x", pull.send[0].message, now_);
  ASSERT_EQ(answer.send.size(), 1u);
  auto effects = follower_->OnMessage("y", answer.send[0].message, now_);
  ASSERT_NE(effects.activate, nullptr);
  EXPECT_EQ(*effects.activate, *VersionWith(1, "plots"));
}

TEST_F(AFollowerWithAFloor, DropsOlderVersions) {
  follower_->OnCommitted(VersionWith(2, "b"), now_);
  EXPECT_EQ(follower_->OnCommitted(VersionWith(1, "a"), now_).activate,
            nullptr);
  EXPECT_EQ(follower_->InUse()->number, 2u);
}

TEST_F(AFollowerWithAFloor, DropsADeltaMadeFromAnotherBase) {
  VersionPullAnswer answer;
  answer.base_number = 0;
  answer.base_digest = 12345;
  answer.patches = {"[]"};
  answer.number = 1;
  answer.digest = EmptyConfigVersion()->digest;
  EXPECT_EQ(follower_->OnMessage("y", answer, now_).activate, nullptr);
}

}  // namespace
}  // namespace hibiscusglade
