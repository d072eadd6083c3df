#include "distribution/version_follower.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "distribution/tests/ask_directories.h"
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
  EmptyAskDirectory directory_;
  std::unique_ptr<VersionFollower> follower_ =
      MakeVersionFollower(ConfigOf("x"), 1, now_, directory_);
};

class ARestartedFollower : public AFollower {};

TEST_F(ARestartedFollower, RequestsTheFloorAgainUntilItIsKnown) {
  EXPECT_TRUE(follower_->OnTick(now_).read_latest);
  EXPECT_FALSE(follower_->OnTick(now_).read_latest);
  EXPECT_TRUE(follower_->OnTick(now_ + std::chrono::seconds(1)).read_latest);
  EXPECT_FALSE(follower_->WaitingFor().empty());
  follower_->OnLatestRead(0, now_, now_);
  EXPECT_FALSE(follower_->OnTick(now_ + std::chrono::seconds(9)).read_latest);
}

TEST_F(ARestartedFollower, UsesNothingBelowTheFloor) {
  EXPECT_EQ(follower_->OnCommitted(VersionWith(1, "a"), now_).activate,
            nullptr);
  EXPECT_EQ(follower_->OnLatestRead(2, now_, now_).activate, nullptr);
  EXPECT_EQ(follower_->InUse(), nullptr);
  EXPECT_EQ(follower_->WaitingFor(), "version 2");
  auto effects = follower_->OnCommitted(VersionWith(2, "b"), now_);
  ASSERT_NE(effects.activate, nullptr);
  EXPECT_EQ(effects.activate->number, 2u);
}

class AFollowerWithAFloor : public AFollower {
 protected:
  AFollowerWithAFloor() { follower_->OnLatestRead(0, now_, now_); }
};

TEST_F(AFollowerWithAFloor, PullsFromThePeerThatIsAhead) {
  auto source = MakeVersionFollower(ConfigOf("y"), 2, now_, directory_);
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
    source_->OnLatestRead(0, now_, now_);
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
      MakeVersionFollower(ConfigOf("y"), 2, now_, directory_);
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

/// The followers of one failure domain, each with its peers at distances 1, 2,
/// 4, ... on a ring. The first one is a relay with a replica.
class AFailureDomain : public AFollower {
 protected:
  static constexpr size_t kFollowers = 28;

  AFailureDomain() {
    for (size_t i = 0; i < kFollowers; ++i) {
      FollowerConfig config = ConfigOf(std::to_string(i));
      config.failure_domain = "a";
      followers_.push_back(MakeVersionFollower(config, i, now_, directory_));
      followers_.back()->OnLatestRead(0, now_, now_);
      std::vector<DistributionPeer> peers;
      for (size_t distance = 1; distance < kFollowers; distance *= 2) {
        const std::string peer = std::to_string((i + distance) % kFollowers);
        peers.push_back({peer, "a", peer, false});
      }
      if (i == 0) peers.push_back({"r", "b", "r", false});
      followers_.back()->SetPeers(peers);
    }
  }

  /// Delivers changes, but neither notices nor pulls. No follower applies what
  /// it is to pass on.
  /// @return the number of copies sent.
  size_t DeliverChanges(std::vector<DistributionSend> queue) {
    size_t copies = 0;
    for (size_t next = 0; next < queue.size(); ++next) {
      const DistributionSend sent = queue[next];
      if (!std::holds_alternative<VersionPullAnswer>(sent.message)) continue;
      ++copies;
      if (sent.address == "r") continue;
      const auto effects = followers_[std::stoul(sent.address)]->OnMessage(
          "sender", sent.message, now_);
      queue.insert(queue.end(), effects.send.begin(), effects.send.end());
    }
    return copies;
  }

  std::vector<std::unique_ptr<VersionFollower>> followers_;
};

TEST_F(AFailureDomain, GetsALargeChangeBeforeAnyPasserOnHasAppliedIt) {
  const ConfigVersionPtr version = VersionWith(1, std::string(2000, 'a'));
  const size_t copies =
      DeliverChanges(followers_[0]->OnCommitted(version, now_).send);
  EXPECT_LT(copies, 2 * kFollowers);
  for (const auto& follower : followers_) follower->ApplyReceived(now_);
  for (size_t i = 0; i < kFollowers; ++i) {
    EXPECT_EQ(followers_[i]->InUse()->number, 1u) << i;
  }
}

TEST_F(AFailureDomain, GetsALargeChangeThatItsRelayPulled) {
  const ConfigVersionPtr version = VersionWith(1, std::string(2000, 'a'));
  VersionPullAnswer answer;
  answer.base_digest = EmptyConfigVersion()->digest;
  answer.steps = {{1, version->patch}};
  answer.number = 1;
  answer.digest = version->digest;
  DeliverChanges(followers_[0]->OnMessage("r", answer, now_).send);
  for (const auto& follower : followers_) follower->ApplyReceived(now_);
  for (size_t i = 0; i < kFollowers; ++i) {
    EXPECT_EQ(followers_[i]->InUse()->number, 1u) << i;
  }
}

TEST_F(AFailureDomain, IsSentALargeChangeBeforeItsNotice) {
  const auto sent =
      followers_[0]
          ->OnCommitted(VersionWith(1, std::string(2000, 'a')), now_)
          .send;
  const auto kind_to = [&sent](const std::string& address) {
    std::vector<size_t> kinds;
    for (const DistributionSend& one : sent) {
      if (one.address == address) kinds.push_back(one.message.index());
    }
    return kinds;
  };
  const size_t notice = DistributionMessage(VersionNotice{}).index();
  const size_t changes = DistributionMessage(VersionPullAnswer{}).index();
  EXPECT_EQ(kind_to("1"), (std::vector<size_t>{changes, notice}));
  EXPECT_EQ(kind_to("r"), (std::vector<size_t>{notice}));
}

TEST_F(AFailureDomain, PassesALargeChangeOnOnlyOnce) {
  const ConfigVersionPtr version = VersionWith(1, std::string(2000, 'a'));
  const auto sent = followers_[0]->OnCommitted(version, now_).send;
  const auto to_last = std::find_if(
      sent.begin(), sent.end(),
      [](const DistributionSend& one) { return one.address == "16"; });
  ASSERT_NE(to_last, sent.end());
  EXPECT_EQ(followers_[16]->OnMessage("0", to_last->message, now_).send.size(),
            4u);
  EXPECT_EQ(followers_[16]->ApplyReceived(now_).activate->number, 1u);
  EXPECT_TRUE(
      followers_[16]->OnMessage("0", to_last->message, now_).send.empty());
}

TEST_F(AFailureDomain, PullsALargeChangeThatDoesNotFit) {
  followers_[0]->OnCommitted(VersionWith(1, "plots"), now_);
  std::vector<SettingsFault> faults;
  const std::string patch = R"([{"op":"add","path":"/services/)" +
                            std::string(2000, 'a') + R"(","value":{}}])";
  const auto sent =
      followers_[0]
          ->OnCommitted(
              MakeConfigVersion(
                  2, 1,
                  *ApplyPatch(VersionWith(1, "plots")->text, patch, faults),
                  patch, faults),
              now_)
          .send;
  ASSERT_EQ(sent[3].address, "2");
  EXPECT_EQ(followers_[2]->OnMessage("0", sent[3].message, now_).send.size(),
            1u);
  const auto pull = followers_[2]->ApplyReceived(now_).send;
  ASSERT_EQ(pull.size(), 1u);
  EXPECT_EQ(pull[0].address, "0");
  EXPECT_TRUE(std::holds_alternative<VersionPull>(pull[0].message));
}

/// Its peers have declared it dead, so that they send it nothing by themselves.
class AFollowerThatNoPeerKnows : public AFollower {
 protected:
  AFollowerThatNoPeerKnows() {
    follower_ = MakeVersionFollower(ConfigOf("x"), 1, now_, knows_peer_);
    follower_->OnLatestRead(0, now_, now_);
  }

  FixedAskDirectory knows_peer_{{{AskScope::kOwnDomain, {"y"}}}};
};

TEST_F(AFollowerThatNoPeerKnows, LearnsOfANewVersionByAsking) {
  auto peer = MakeVersionFollower(ConfigOf("y"), 2, now_, directory_);
  peer->OnLatestRead(0, now_, now_);
  peer->OnCommitted(VersionWith(1, "plots"), now_);
  // A change must be in force within two seconds.
  std::vector<DistributionSend> to_peer;
  for (const Instant end = now_ + std::chrono::seconds(1); now_ < end;
       now_ += std::chrono::milliseconds(50)) {
    const auto sent = follower_->OnTick(now_).send;
    to_peer.insert(to_peer.end(), sent.begin(), sent.end());
    for (const DistributionSend& one : std::exchange(to_peer, {})) {
      for (const auto& answer : peer->OnMessage("x", one.message, now_).send) {
        const auto next = follower_->OnMessage("y", answer.message, now_).send;
        to_peer.insert(to_peer.end(), next.begin(), next.end());
      }
    }
  }
  EXPECT_EQ(follower_->InUse()->number, 1u);
  EXPECT_TRUE(to_peer.empty());
}

class ManyFollowersAtOnce : public AFollower {};

TEST_F(ManyFollowersAtOnce, AreAnsweredBusyAboveThePullLimit) {
  follower_->OnLatestRead(0, now_, now_);
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
  follower_->OnLatestRead(3, now_, now_);
  follower_->SetPeers({{"p", "a", "p-address", false}});
  EXPECT_FALSE(follower_->OnTick(now_).send.empty());
  VersionPullAnswer busy;
  busy.busy = true;
  follower_->OnMessage("p-address", busy, now_);
  auto sent = follower_->OnTick(now_ + std::chrono::milliseconds(200)).send;
  ASSERT_FALSE(sent.empty());
  EXPECT_TRUE(std::holds_alternative<VersionPull>(sent.front().message));
}

TEST(AnUpToDatePull, IsNotAnsweredByADocument) {
  EmptyAskDirectory directory;
  const Instant now(std::chrono::seconds(1000));
  auto follower = MakeVersionFollower({}, 1, now, directory);
  follower->OnLatestRead(0, now, now);
  const ConfigVersionPtr& version = follower->InUse();
  const FollowerEffects effects = follower->OnMessage(
      "y", VersionPull{version->number, version->digest}, now);
  ASSERT_EQ(effects.send.size(), 1u);
  EXPECT_EQ(std::get<VersionPullAnswer>(effects.send[0].message).whole, "");
}

}  // namespace
}  // namespace hibiscusglade
