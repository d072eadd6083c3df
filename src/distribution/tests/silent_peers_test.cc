#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

#include "base/random.h"
#include "distribution/tests/ask_directories.h"
#include "distribution/tests/versions.h"
#include "distribution/version_follower.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeeds = 20;
constexpr milliseconds kTick{50};
/// Ticks are late by up to this time.
constexpr milliseconds kMaxTickDelay{20};
/// Of a message and its answer.
constexpr milliseconds kRoundTrip{10};
/// A change must be in force within this time.
constexpr milliseconds kInForce{2000};

/// A daemon of failure domain "a" that is no relay. Its three peers are silent.
class DaemonWithSilentPeers {
 public:
  explicit DaemonWithSilentPeers(uint64_t seed) : random_(seed) {
    FollowerConfig config;
    config.instance = "x";
    config.failure_domain = "a";
    follower_ = MakeVersionFollower(config, seed, now_, directory_);
    follower_->SetPeers({{"p1", "a", "p1", false},
                         {"p2", "a", "p2", false},
                         {"p4", "a", "p4", false}});
  }

  void ReadLatest(uint64_t number) {
    follower_->OnLatestRead(number, now_, now_);
  }

  /// The last message of a peer.
  void ReceiveNoticeOfVersionOne() {
    VersionNotice notice;
    notice.number = 1;
    notice.digest = version_->digest;
    follower_->OnMessage("p1", notice, now_);
  }

  /// Whether the replica in another failure domain answers, by version 1.
  void LetReplicaAnswer(bool answers) { replica_answers_ = answers; }
  /// Whether the relays answer, by confirmations that are out of date.
  void LetRelaysAnswer(bool answer) { relays_answer_ = answer; }

  /// Runs until version 1 is in use or the time is over.
  /// @return the time that it took, at most `at_most`.
  Duration RunUntilVersionOne(Duration at_most) {
    const Instant begin = now_;
    while (!HasVersionOne() && now_ - begin < at_most) {
      const Instant next_tick = now_ + kTick + RandomTickDelay();
      Send(follower_->OnTick(now_));
      while (!answers_.empty()) {
        now_ += kRoundTrip;
        for (const auto& [from, message] : std::exchange(answers_, {})) {
          Send(follower_->OnMessage(from, message, now_));
        }
      }
      if (!HasVersionOne()) now_ = std::max(now_, next_tick);
    }
    return now_ - begin;
  }

 private:
  void Send(const FollowerEffects& effects) {
    for (const DistributionSend& sent : effects.send) {
      if (sent.address == "replica" && replica_answers_) {
        answers_.emplace_back(sent.address, AnswerOfReplica(sent.message));
      } else if (sent.address.starts_with("relay") && relays_answer_) {
        VersionNotice notice;
        notice.age = now_ - confirmed_at_;
        notice.relay = true;
        notice.same_domain = true;
        answers_.emplace_back(sent.address, notice);
      }
    }
  }

  DistributionMessage AnswerOfReplica(const DistributionMessage& message) {
    if (std::holds_alternative<VersionPull>(message)) {
      VersionPullAnswer answer;
      answer.number = 1;
      answer.digest = version_->digest;
      answer.whole = version_->text;
      return answer;
    }
    VersionNotice notice;
    notice.number = 1;
    notice.digest = version_->digest;
    notice.age = milliseconds(50);
    return notice;
  }

  bool HasVersionOne() const {
    return follower_->InUse() != nullptr && follower_->InUse()->number == 1;
  }

  Duration RandomTickDelay() {
    return Duration(
        static_cast<int64_t>(random_.Below(Duration(kMaxTickDelay).count())));
  }

  Instant now_ = Instant(seconds(1000));
  const Instant confirmed_at_ = now_;
  Random random_;
  FixedAskDirectory directory_{{{AskScope::kOwnRelays, {"relay1", "relay2"}},
                                {AskScope::kOwnDomain, {"p1", "p2", "p4"}},
                                {AskScope::kReplicas, {"replica"}},
                                {AskScope::kOtherDomains, {"replica"}}}};
  ConfigVersionPtr version_ = VersionOne();
  bool replica_answers_ = true;
  bool relays_answer_ = false;
  std::unique_ptr<VersionFollower> follower_;
  std::vector<std::pair<std::string, DistributionMessage>> answers_;
};

TEST(ADaemonWithSilentPeers, StartsWithTheLatestVersionInTime) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    DaemonWithSilentPeers daemon(seed);
    daemon.ReadLatest(1);
    EXPECT_LE(daemon.RunUntilVersionOne(seconds(60)), kInForce)
        << "seed " << seed;
  }
}

TEST(ADaemonWithSilentPeers, PullsFromAnotherWhoHasTheVersion) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    DaemonWithSilentPeers daemon(seed);
    daemon.ReadLatest(0);
    daemon.ReceiveNoticeOfVersionOne();
    EXPECT_LE(daemon.RunUntilVersionOne(seconds(60)), kInForce)
        << "seed " << seed;
  }
}

/// The relays answer for a while without knowing anything newer.
TEST(ADaemonWithSilentPeers, NoticesThatItsRelaysFallSilent) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    DaemonWithSilentPeers daemon(seed);
    daemon.ReadLatest(0);
    daemon.LetReplicaAnswer(false);
    daemon.LetRelaysAnswer(true);
    daemon.RunUntilVersionOne(milliseconds(1200));
    daemon.LetReplicaAnswer(true);
    daemon.LetRelaysAnswer(false);
    EXPECT_LE(daemon.RunUntilVersionOne(seconds(60)), kInForce)
        << "seed " << seed;
  }
}

}  // namespace
}  // namespace hibiscusglade
