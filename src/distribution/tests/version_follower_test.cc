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
    return config;
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  std::unique_ptr<VersionFollower> follower_ =
      MakeVersionFollower(ConfigOf("x"), 1, now_);
};

class ARestartedFollower : public AFollower {};

TEST_F(ARestartedFollower, RequestsTheFloorAgainUntilItIsKnown) {
  EXPECT_TRUE(follower_->OnTick(now_).read_floor);
  EXPECT_FALSE(follower_->OnTick(now_).read_floor);
  EXPECT_TRUE(follower_->OnTick(now_ + std::chrono::seconds(1)).read_floor);
  EXPECT_FALSE(follower_->WaitingFor().empty());
  follower_->OnFloor(0, now_);
  EXPECT_FALSE(follower_->OnTick(now_ + std::chrono::seconds(9)).read_floor);
}

TEST_F(ARestartedFollower, UsesNothingBelowTheFloor) {
  EXPECT_EQ(follower_->OnCommitted(VersionWith(1, "a"), now_).activate,
            nullptr);
  EXPECT_EQ(follower_->OnFloor(2, now_).activate, nullptr);
  EXPECT_EQ(follower_->InUse(), nullptr);
  EXPECT_EQ(follower_->WaitingFor(), "version 2");
  auto effects = follower_->OnCommitted(VersionWith(2, "b"), now_);
  ASSERT_NE(effects.activate, nullptr);
  EXPECT_EQ(effects.activate->number, 2u);
}

class AFollowerWithAFloor : public AFollower {
 protected:
  AFollowerWithAFloor() { follower_->OnFloor(0, now_); }
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
  answer.steps = {{1, "[]"}};
  answer.number = 1;
  answer.digest = EmptyConfigVersion()->digest;
  EXPECT_EQ(follower_->OnMessage("y", answer, now_).activate, nullptr);
}

TEST_F(AFollowerWithAFloor, AsksAnotherPeerSoonWhenOneHasEnded) {
  follower_->SetPeers({{"y", "a", "y", false}, {"z", "a", "z", false}});
  const VersionNotice notice{1, 7};
  ASSERT_EQ(follower_->OnMessage("y", notice, now_).send.size(), 1u);
  // No answer arrives. A change must be in force within two seconds.
  int pulls = 0;
  for (int i = 0; i < 20; ++i) {
    now_ += std::chrono::milliseconds(50);
    for (const DistributionSend& sent : follower_->OnTick(now_).send) {
      if (std::holds_alternative<VersionPull>(sent.message)) ++pulls;
    }
  }
  EXPECT_GE(pulls, 2);
}

TEST_F(AFollowerWithAFloor, ReportsWhatAVersionWaitedFor) {
  const ConfigVersionPtr version = VersionWith(1, "plots");
  follower_->SetPeers({{"y", "a", "y", false}});
  follower_->OnMessage("y", VersionNotice{1, version->digest}, now_);
  now_ += std::chrono::milliseconds(500);  // The pull is not answered.
  follower_->OnTick(now_);
  VersionPullAnswer busy;
  busy.busy = true;
  follower_->OnMessage("y", busy, now_ + std::chrono::milliseconds(10));
  now_ += std::chrono::milliseconds(200);
  follower_->OnTick(now_);
  now_ += std::chrono::milliseconds(40);
  VersionPullAnswer answer;
  answer.whole = version->text;
  answer.number = 1;
  answer.digest = version->digest;
  const FollowerEffects effects = follower_->OnMessage("y", answer, now_);
  ASSERT_NE(effects.activate, nullptr);
  const CatchUp expected{std::chrono::milliseconds(740), 3, 1, 1, 0,
                         std::chrono::milliseconds(40)};
  EXPECT_EQ(effects.catch_up, expected);
}

/// Receives messages in time, but its own are not delivered.
class AFollowerBehindAFullUplink : public AFollowerWithAFloor {
 protected:
  AFollowerBehindAFullUplink() {
    source_->OnFloor(0, now_);
    source_->SetPeers({{"x", "a", "x", false}});
  }

  /// Puts a version in use at the peer.
  void PutInUseAtThePeer(const ConfigVersionPtr& version) {
    sent_.clear();
    for (const DistributionSend& sent :
         source_->OnCommitted(version, now_).send) {
      const FollowerEffects effects =
          follower_->OnMessage("y", sent.message, now_);
      sent_.insert(sent_.end(), effects.send.begin(), effects.send.end());
    }
  }

  std::unique_ptr<VersionFollower> source_ =
      MakeVersionFollower(ConfigOf("y"), 2, now_);
  std::vector<DistributionSend> sent_;  ///< By the follower, not delivered.
};

TEST_F(AFollowerBehindAFullUplink, PutsASmallChangeInUseWithoutAPull) {
  PutInUseAtThePeer(VersionWith(1, "plots"));
  ASSERT_NE(follower_->InUse(), nullptr);
  EXPECT_EQ(*follower_->InUse(), *VersionWith(1, "plots"));
  EXPECT_TRUE(sent_.empty());
}

TEST_F(AFollowerBehindAFullUplink, PullsALargeChange) {
  PutInUseAtThePeer(VersionWith(1, std::string(2000, 'a')));
  EXPECT_EQ(follower_->InUse()->number, 0u);
  ASSERT_EQ(sent_.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<VersionPull>(sent_[0].message));
}

TEST_F(AFollowerBehindAFullUplink, PullsWhenItHasMissedAVersion) {
  source_->SetPeers({});
  PutInUseAtThePeer(VersionWith(1, "plots"));
  source_->SetPeers({{"x", "a", "x", false}});
  const ConfigVersionPtr first = VersionWith(1, "plots");
  std::vector<SettingsFault> faults;
  const std::string patch =
      R"([{"op":"add","path":"/services/tags","value":{}}])";
  PutInUseAtThePeer(MakeConfigVersion(
      2, 1, *ApplyPatch(first->text, patch, faults), patch, faults));
  EXPECT_EQ(follower_->InUse()->number, 0u);
  ASSERT_EQ(sent_.size(), 1u);
  EXPECT_EQ(sent_[0].address, "y");
  const VersionPull pull{0, EmptyConfigVersion()->digest};
  EXPECT_EQ(std::get<VersionPull>(sent_[0].message), pull);
}

class ManyFollowersAtOnce : public AFollower {};

TEST_F(ManyFollowersAtOnce, AreAnsweredBusyAboveThePullLimit) {
  follower_->OnFloor(0, now_);
  follower_->OnCommitted(VersionWith(1, "a"), now_);
  const VersionPull pull{0, EmptyConfigVersion()->digest};
  int busy = 0;
  for (int i = 0; i < 50; ++i) {
    auto sent = follower_->OnMessage("y", pull, now_).send;
    busy += std::get<VersionPullAnswer>(sent.at(0).message).busy ? 1 : 0;
  }
  EXPECT_EQ(busy, 40);
  auto later = follower_->OnMessage("y", pull, now_ + std::chrono::seconds(1));
  EXPECT_FALSE(std::get<VersionPullAnswer>(later.send.at(0).message).busy);
}

TEST_F(ManyFollowersAtOnce, AskAgainAfterABusyAnswer) {
  follower_->OnFloor(3, now_);
  follower_->SetPeers({{"p", "a", "p-address", false}});
  EXPECT_FALSE(follower_->OnTick(now_).send.empty());
  VersionPullAnswer busy;
  busy.busy = true;
  follower_->OnMessage("p-address", busy, now_);
  auto sent = follower_->OnTick(now_ + std::chrono::milliseconds(200)).send;
  ASSERT_FALSE(sent.empty());
  EXPECT_TRUE(std::holds_alternative<VersionPull>(sent.front().message));
}

}  // namespace
}  // namespace hibiscusglade
