#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "distribution/tests/ask_directories.h"
#include "distribution/version_follower.h"

namespace hibiscusglade {
namespace {

RolloutsAt At(uint64_t revision, uint32_t share) {
  Rollout rollout;
  rollout.service = "orders";
  rollout.target_version = "v2";
  rollout.order = 1;
  rollout.step = revision;
  rollout.share_permille = share;
  return {revision, {{"orders", rollout}}};
}

/// Five daemons in a ring, of which each knows the next one only.
class DaemonsThatPassRolloutsOn : public testing::Test {
 protected:
  static constexpr size_t kDaemons = 5;
  DaemonsThatPassRolloutsOn() {
    for (size_t i = 0; i < kDaemons; ++i) {
      FollowerConfig config;
      config.instance = Name(i);
      config.failure_domain = "dom";
      followers_.push_back(MakeVersionFollower(config, i, now_, directory_));
      followers_[i]->SetPeers(
          {{Name((i + 1) % kDaemons), "dom", Name((i + 1) % kDaemons), false}});
    }
  }
  static std::string Name(size_t i) { return std::to_string(i); }

  void Carry(size_t from, const FollowerEffects& effects) {
    for (const DistributionSend& sent : effects.send) {
      mail_.push_back({from, std::stoul(sent.address), sent.message});
    }
  }
  void DeliverAll() {
    for (int i = 0; i < 200 && !mail_.empty(); ++i) {
      const Mail mail = mail_.front();
      mail_.pop_front();
      ++delivered_;
      Carry(mail.to, followers_[mail.to]->OnMessage(Name(mail.from),
                                                    mail.message, now_));
    }
    EXPECT_TRUE(mail_.empty());
  }
  bool AllKnow(const RolloutsAt& rollouts) {
    return std::ranges::all_of(followers_, [&](const auto& follower) {
      return follower->Rollouts() == rollouts;
    });
  }

  struct Mail {
    size_t from;
    size_t to;
    DistributionMessage message;
  };
  Instant now_ = Instant(std::chrono::seconds(1000));
  EmptyAskDirectory directory_;
  std::vector<std::unique_ptr<VersionFollower>> followers_;
  std::deque<Mail> mail_;
  size_t delivered_ = 0;
};

TEST_F(DaemonsThatPassRolloutsOn, AllLearnAStepThatOneOfThemRead) {
  Carry(2, followers_[2]->OnRollouts(At(4, 40)));
  DeliverAll();
  EXPECT_TRUE(AllKnow(At(4, 40)));
}

TEST_F(DaemonsThatPassRolloutsOn, NeverGoBackAndSayNothingTwice) {
  Carry(2, followers_[2]->OnRollouts(At(4, 40)));
  DeliverAll();
  delivered_ = 0;
  Carry(1, followers_[1]->OnRollouts(At(3, 500)));
  Carry(1, followers_[1]->OnRollouts(At(4, 40)));
  DeliverAll();
  EXPECT_EQ(delivered_, 0u);
  EXPECT_TRUE(AllKnow(At(4, 40)));
}

TEST_F(DaemonsThatPassRolloutsOn, AskForStatesOfWhichTheyKnowTheRevision) {
  Carry(2, followers_[2]->OnRollouts(At(4, 40)));
  mail_.clear();
  VersionNotice notice;
  notice.rollouts.revision = 4;
  mail_.push_back({2, 0, notice});
  DeliverAll();
  EXPECT_EQ(followers_[0]->Rollouts(), At(4, 40));
  EXPECT_EQ(followers_[1]->Rollouts(), At(4, 40));
}

}  // namespace
}  // namespace hibiscusglade
