#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

#include "distribution/tests/ask_directories.h"
#include "distribution/tests/versions.h"
#include "distribution/version_follower.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{50};
constexpr milliseconds kLinkDelay{5};
/// A change must be in force within this time at each daemon that reaches the
/// replicas.
constexpr milliseconds kInForce{2000};
constexpr size_t kRelays = 2;

/// A failure domain without a replica. Its relays run and are reached by the
/// other daemons, but reach nobody outside; the others do. The replica "5" in
/// another domain answers.
class DomainWhoseRelaysAreCutOff {
 public:
  explicit DomainWhoseRelaysAreCutOff(size_t size) {
    for (size_t i = 0; i < size; ++i) {
      FixedAskDirectory::Addresses addresses;
      addresses[AskScope::kReplicas] = {kReplica};
      addresses[AskScope::kOtherDomains] = {kReplica};
      std::vector<DistributionPeer> peers;
      for (size_t distance = 1; distance < size; ++distance) {
        const size_t j = (i + distance) % size;
        const std::string name = std::to_string(j);
        addresses[AskScope::kOwnDomain].push_back(name);
        if (j < kRelays) addresses[AskScope::kOwnRelays].push_back(name);
        const bool on_ring = (distance & (distance - 1)) == 0;
        if (on_ring) peers.push_back({name, "a", name, false});
      }
      if (i < kRelays) peers.push_back({"replica", "b", kReplica, true});
      directories_.emplace_back(addresses);
      FollowerConfig config;
      config.instance = std::to_string(i);
      config.failure_domain = "a";
      followers_.push_back(
          MakeVersionFollower(config, i + 1, now_, directories_.back()));
      followers_.back()->SetPeers(peers);
      followers_.back()->OnLatestRead(0, now_, now_);
    }
  }

  void CommitVersionOne() { latest_ = VersionOne(); }

  void Run(Duration length) {
    for (const Instant end = now_ + length; now_ < end; now_ += kTick) {
      for (size_t i = 0; i < followers_.size(); ++i) {
        Send(std::to_string(i), followers_[i]->OnTick(now_));
      }
      Deliver();
    }
  }

  /// @return how many daemons do not have the committed version.
  size_t Behind() const {
    size_t behind = 0;
    for (const auto& follower : followers_) {
      behind += follower->InUse()->number < latest_->number ? 1 : 0;
    }
    return behind;
  }

 private:
  void Send(const std::string& from, const FollowerEffects& effects) {
    for (const DistributionSend& sent : effects.send) {
      queue_.push_back({now_ + kLinkDelay, from, sent.address, sent.message});
    }
  }

  void Deliver() {
    const Instant tick = now_;
    while (!queue_.empty() && queue_.front().arrives_at < tick + kTick) {
      Message message = queue_.front();
      queue_.pop_front();
      now_ = message.arrives_at;
      if (message.to == kReplica) {
        const bool from_relay = std::stoul(message.from) < kRelays;
        if (!from_relay) AnswerOfReplica(message);
        continue;
      }
      if (auto* notice = std::get_if<VersionNotice>(&message.body)) {
        notice->same_domain = message.from != kReplica;
      }
      VersionFollower& receiver = *followers_[std::stoul(message.to)];
      Send(message.to, receiver.OnMessage(message.from, message.body, now_));
      Send(message.to, receiver.ApplyReceived(now_));
    }
    now_ = tick;
  }

  struct Message {
    Instant arrives_at;
    std::string from;
    std::string to;
    DistributionMessage body;
  };

  void AnswerOfReplica(const Message& message) {
    DistributionMessage body;
    if (std::holds_alternative<VersionPull>(message.body)) {
      VersionPullAnswer answer;
      answer.number = latest_->number;
      answer.digest = latest_->digest;
      answer.whole = latest_->text;
      body = answer;
    } else {
      VersionNotice notice;
      notice.number = latest_->number;
      notice.digest = latest_->digest;
      notice.age = milliseconds(50);
      body = notice;
    }
    queue_.push_back({now_ + kLinkDelay, kReplica, message.from, body});
  }

  static constexpr char kReplica[] = "1000";
  Instant now_ = Instant(seconds(1000));
  std::deque<FixedAskDirectory> directories_;
  std::vector<std::unique_ptr<VersionFollower>> followers_;
  std::deque<Message> queue_;
  ConfigVersionPtr latest_ = EmptyConfigVersion();
};

TEST(AFailureDomainWhoseRelaysAreCutOff, HasAChangeInForceInTime) {
  for (const size_t size : {3, 4, 5, 6, 17, 28}) {
    for (int seconds_before = 1; seconds_before <= 40; ++seconds_before) {
      DomainWhoseRelaysAreCutOff domain(size);
      domain.Run(seconds(seconds_before));
      domain.CommitVersionOne();
      domain.Run(kInForce);
      EXPECT_EQ(domain.Behind(), 0u)
          << size << " daemons, cut off for " << seconds_before << " s";
    }
  }
}

}  // namespace
}  // namespace hibiscusglade
