#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "distribution/internal/ask_schedule.h"
#include "distribution/tests/ask_directories.h"
#include "distribution/tests/versions.h"
#include "distribution/version_follower.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A daemon of failure domain "a" with a peer at distance 1, 2 and 4.
class AFollowerOnARing : public testing::Test {
 protected:
  static std::unique_ptr<VersionFollower> Make(const std::string& name,
                                               bool replica, Instant now,
                                               AskDirectory& directory) {
    FollowerConfig config;
    config.instance = name;
    config.failure_domain = "a";
    config.replica = replica;
    auto follower = MakeVersionFollower(config, 1, now, directory);
    follower->SetPeers({{"p1", "a", "p1", false},
                        {"p2", "a", "p2", false},
                        {"p4", "a", "p4", false}});
    return follower;
  }

  static VersionNotice NoticeOf(uint64_t number, Duration age) {
    VersionNotice notice;
    notice.number = number;
    notice.age = age;
    return notice;
  }

  static std::vector<std::string> AddressesOf(const FollowerEffects& effects) {
    std::vector<std::string> addresses;
    for (const DistributionSend& sent : effects.send) {
      addresses.push_back(sent.address);
    }
    return addresses;
  }

  Instant now_ = Instant(seconds(1000));
  FixedAskDirectory directory_{{{AskScope::kOwnRelays, {"relay"}},
                                {AskScope::kOwnDomain, {"daemon"}},
                                {AskScope::kReplicas, {"replica"}},
                                {AskScope::kOtherDomains, {"elsewhere"}}}};
  std::unique_ptr<VersionFollower> follower_ =
      Make("x", false, now_, directory_);
};

TEST_F(AFollowerOnARing, DoesNotKnowAnAgeAtFirst) {
  EXPECT_EQ(follower_->Age(now_), std::nullopt);
}

TEST_F(AFollowerOnARing, CountsTheAgeFromTheConfirmationNotFromTheMessage) {
  follower_->OnMessage("y", NoticeOf(0, milliseconds(300)), now_);
  EXPECT_EQ(follower_->Age(now_), milliseconds(300));
  EXPECT_EQ(follower_->Age(now_ + seconds(1)), milliseconds(1300));
}

TEST_F(AFollowerOnARing, KeepsTheMostRecentConfirmation) {
  follower_->OnMessage("y", NoticeOf(0, milliseconds(100)), now_);
  follower_->OnMessage("z", NoticeOf(0, seconds(5)), now_);
  EXPECT_EQ(follower_->Age(now_), milliseconds(100));
}

TEST_F(AFollowerOnARing, TakesANoticeWithoutAnAgeForNoConfirmation) {
  follower_->OnMessage("y", VersionNotice{0, 0}, now_);
  EXPECT_EQ(follower_->Age(now_), std::nullopt);
}

TEST_F(AFollowerOnARing, IsNotConfirmedByALaterNumberUntilItHasThatVersion) {
  follower_->OnLatestRead(0, now_ - seconds(9), now_);
  follower_->OnMessage("y", NoticeOf(1, milliseconds(100)), now_);
  EXPECT_EQ(follower_->Age(now_), seconds(9));
  follower_->OnCommitted(VersionOne(), now_);
  EXPECT_EQ(follower_->Age(now_), milliseconds(100));
}

TEST_F(AFollowerOnARing, PassesAConfirmationOnToItsShareOfTheRing) {
  VersionNotice notice = NoticeOf(0, milliseconds(10));
  notice.forward_to = 2;
  const FollowerEffects effects = follower_->OnMessage("y", notice, now_);
  EXPECT_EQ(AddressesOf(effects), (std::vector<std::string>{"p2", "p1"}));
  const auto& first = std::get<VersionNotice>(effects.send[0].message);
  EXPECT_EQ(first.forward_to, 1u);
  EXPECT_EQ(first.age, milliseconds(10));
}

TEST_F(AFollowerOnARing, PassesAConfirmationOnOnlyOnce) {
  VersionNotice notice = NoticeOf(0, milliseconds(10));
  notice.forward_to = 2;
  follower_->OnMessage("y", notice, now_);
  EXPECT_TRUE(follower_->OnMessage("z", notice, now_).send.empty());
}

TEST_F(AFollowerOnARing, PassesConfirmationsOnThatFollowEachOtherClosely) {
  int passed_on = 0;
  for (int i = 0; i < 100; ++i, now_ += milliseconds(100)) {
    VersionNotice notice = NoticeOf(0, milliseconds(10));
    notice.forward_to = 2;
    passed_on += follower_->OnMessage("y", notice, now_).send.empty() ? 0 : 1;
  }
  EXPECT_GE(passed_on, 20);  // In ten seconds.
}

TEST_F(AFollowerOnARing, AsksNobodyWhileConfirmationsArrive) {
  for (int i = 0; i < 50; ++i, now_ += milliseconds(100)) {
    follower_->OnMessage("y", NoticeOf(0, milliseconds(50)), now_);
    EXPECT_TRUE(follower_->OnTick(now_).send.empty());
  }
}

TEST_F(AFollowerOnARing, AnswersWhoAsks) {
  VersionNotice ask = NoticeOf(0, seconds(3));
  ask.wants_answer = true;
  const FollowerEffects effects = follower_->OnMessage("y", ask, now_);
  ASSERT_EQ(AddressesOf(effects), std::vector<std::string>{"y"});
  EXPECT_FALSE(std::get<VersionNotice>(effects.send[0].message).wants_answer);
}

/// No confirmation has arrived for a second.
class AFollowerWithoutConfirmations : public AFollowerOnARing {
 protected:
  AFollowerWithoutConfirmations() {
    follower_->OnLatestRead(0, now_, now_);
    now_ += seconds(1);
  }

  /// Ticks for a while, and lets the relay answer when it is asked.
  /// @return how often each address was asked.
  std::map<std::string, int> AsksWithin(Duration time, bool relay_answers) {
    std::map<std::string, int> asks;
    for (const Instant end = now_ + time; now_ < end;
         now_ += milliseconds(50)) {
      for (const std::string& address : AddressesOf(follower_->OnTick(now_))) {
        ++asks[address];
        if (address != "relay" || !relay_answers) continue;
        VersionNotice answer = NoticeOf(0, seconds(60));
        answer.relay = true;
        answer.same_domain = true;
        follower_->OnMessage("relay", answer, now_);
      }
    }
    return asks;
  }
};

TEST_F(AFollowerWithoutConfirmations, AsksInItsFailureDomainFirst) {
  EXPECT_EQ(AddressesOf(follower_->OnTick(now_)),
            (std::vector<std::string>{"relay", "daemon"}));
}

TEST_F(AFollowerWithoutConfirmations, AsksEverywhereWithinASecondOfSilence) {
  const auto asks = AsksWithin(seconds(1), false);
  for (const char* address : {"relay", "daemon", "replica", "elsewhere"}) {
    EXPECT_GE(asks.contains(address) ? asks.at(address) : 0, 1) << address;
  }
}

TEST_F(AFollowerWithoutConfirmations, LeavesItToARelayThatAnswers) {
  const auto asks = AsksWithin(seconds(60), true);
  EXPECT_LE(asks.contains("replica") ? asks.at("replica") : 0, 5);
}

TEST_F(AFollowerWithoutConfirmations, AsksLessOftenTheLongerItLasts) {
  AsksWithin(seconds(60), false);
  EXPECT_LE(AsksWithin(seconds(60), false)["relay"], 20);
}

TEST_F(AFollowerWithoutConfirmations, StopsAskingOnceItIsConfirmed) {
  AsksWithin(seconds(1), false);
  follower_->OnMessage("y", NoticeOf(0, milliseconds(50)), now_);
  EXPECT_TRUE(AsksWithin(milliseconds(600), false).empty());
}

/// A relay that has been without confirmations for a second.
class ARelayWithoutConfirmations : public AFollowerWithoutConfirmations {
 protected:
  ARelayWithoutConfirmations() {
    follower_->SetPeers({{"p1", "a", "p1", false}, {"r", "b", "r", false}});
  }

  /// An ask opens a connection, which is kept for this time without use.
  static constexpr seconds kIdleConnectionTimeout{60};
  /// Beyond those to peers, of a daemon that may take 32 MB.
  static constexpr size_t kMaxFurtherConnections = 40;

  std::vector<std::string> many_;
};

TEST_F(ARelayWithoutConfirmations, AsksPastItsFailureDomainAtOnce) {
  EXPECT_EQ(AddressesOf(follower_->OnTick(now_)),
            std::vector<std::string>{"replica"});
}

TEST_F(ARelayWithoutConfirmations, AsksInItsDomainTooWhenNobodyAnswers) {
  follower_->OnTick(now_);
  EXPECT_EQ(AddressesOf(follower_->OnTick(now_ + milliseconds(300))),
            (std::vector<std::string>{"daemon", "elsewhere"}));
}

TEST_F(ARelayWithoutConfirmations, PassesOnWhatItIsTold) {
  follower_->OnTick(now_);
  const FollowerEffects effects =
      follower_->OnMessage("replica", NoticeOf(0, milliseconds(20)), now_);
  EXPECT_EQ(AddressesOf(effects), std::vector<std::string>{"p1"});
}

/// Confirmations arrive as answers to asks only.
TEST_F(ARelayWithoutConfirmations, AsksFewInstancesWhileTheyAnswer) {
  for (int i = 0; i < 225; ++i) many_.push_back("d" + std::to_string(i));
  FixedAskDirectory directory({{AskScope::kOwnDomain, many_},
                               {AskScope::kReplicas, {"r1", "r2", "r3"}},
                               {AskScope::kOtherDomains, many_}});
  auto relay = Make("relay", false, now_, directory);
  relay->SetPeers({{"p1", "a", "p1", false}, {"r", "b", "r", false}});
  std::set<std::string> asked;
  for (const Instant end = now_ + kIdleConnectionTimeout; now_ < end;
       now_ += milliseconds(50)) {
    for (const std::string& address : AddressesOf(relay->OnTick(now_))) {
      asked.insert(address);
      relay->OnMessage(address, NoticeOf(0, milliseconds(200)), now_);
    }
  }
  EXPECT_LE(asked.size(), kMaxFurtherConnections);
}

class AReplicaOnARing : public AFollowerOnARing {
 protected:
  std::unique_ptr<VersionFollower> replica_ = Make("r", true, now_, directory_);
};

TEST_F(AReplicaOnARing, HasTheLatestNumberConfirmedAgainAndAgain) {
  int reads = 0;
  for (int i = 0; i < 100; ++i, now_ += milliseconds(50)) {
    if (!replica_->OnTick(now_).read_latest) continue;
    ++reads;
    replica_->OnLatestRead(0, now_, now_);
  }
  EXPECT_GE(reads, 12);
  EXPECT_LE(reads, 18);
}

TEST_F(AReplicaOnARing, StartsAConfirmationForItsFailureDomain) {
  replica_->OnLatestRead(0, now_, now_);
  now_ += milliseconds(400);
  const FollowerEffects effects =
      replica_->OnLatestRead(0, now_ - milliseconds(20), now_);
  ASSERT_EQ(AddressesOf(effects), (std::vector<std::string>{"p4", "p2", "p1"}));
  EXPECT_EQ(std::get<VersionNotice>(effects.send[0].message).forward_to, 2u);
}

TEST_F(AReplicaOnARing, ConfirmsNothingThatItHasNotAppliedYet) {
  EXPECT_TRUE(replica_->OnLatestRead(1, now_, now_).send.empty());
  EXPECT_EQ(replica_->Age(now_), std::nullopt);
}

}  // namespace
}  // namespace hibiscusglade
