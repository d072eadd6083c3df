#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

#include "distribution/tests/ask_directories.h"
#include "distribution/version_follower.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDaemons = 28;
constexpr milliseconds kTick{50};
/// Of a message, with its wait at a receiver that is busy.
constexpr milliseconds kDelay{100};
/// A version may be out of date for this time.
constexpr seconds kMaxError{2};

/// A failure domain on slow links, where nobody is confirmed any more.
class DaemonsOnSlowLinks {
 public:
  DaemonsOnSlowLinks() {
    for (size_t i = 0; i < kDaemons; ++i) {
      FixedAskDirectory::Addresses addresses;
      std::vector<DistributionPeer> peers;
      for (size_t distance = 1; distance < kDaemons; ++distance) {
        const size_t j = (i + distance) % kDaemons;
        const std::string name = std::to_string(j);
        addresses[AskScope::kOwnDomain].push_back(name);
        if (j < 2) addresses[AskScope::kOwnRelays].push_back(name);
        const bool on_ring = (distance & (distance - 1)) == 0;
        if (on_ring) peers.push_back({name, "a", name, false});
      }
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

  void Run(Duration length) {
    for (const Instant end = now_ + length; now_ < end; now_ += kTick) {
      for (; !queue_.empty() && queue_.front().arrives_at <= now_;
           queue_.pop_front()) {
        const Message message = queue_.front();
        Send(message.to, followers_[message.to]->OnMessage(
                             std::to_string(message.from), message.body, now_));
      }
      for (size_t i = 0; i < kDaemons; ++i) {
        Send(i, followers_[i]->OnTick(now_));
      }
    }
  }

  /// @return the least age that a daemon reports.
  Duration LeastAge() const {
    Duration least = seconds(3600);
    for (const auto& follower : followers_) {
      least = std::min(least, follower->Age(now_).value_or(least));
    }
    return least;
  }

 private:
  struct Message {
    Instant arrives_at;
    size_t from;
    size_t to;
    DistributionMessage body;
  };

  void Send(size_t from, const FollowerEffects& effects) {
    for (const DistributionSend& sent : effects.send) {
      Message message{now_ + kDelay, from, std::stoul(sent.address),
                      sent.message};
      if (auto* notice = std::get_if<VersionNotice>(&message.body)) {
        notice->same_domain = true;
      }
      queue_.push_back(message);
    }
  }

  Instant now_ = Instant(seconds(1000));
  std::deque<FixedAskDirectory> directories_;
  std::vector<std::unique_ptr<VersionFollower>> followers_;
  std::deque<Message> queue_;
};

TEST(TheAgeOfAVersion, DoesNotShrinkByAskingEachOther) {
  DaemonsOnSlowLinks daemons;
  daemons.Run(seconds(60));
  EXPECT_GE(daemons.LeastAge(), seconds(60) - kMaxError);
}

}  // namespace
}  // namespace hibiscusglade
