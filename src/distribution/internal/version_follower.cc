#include "distribution/version_follower.h"

#include <algorithm>
#include <utility>

#include "distribution/internal/version_history.h"
#include "platform/random.h"

namespace hibiscusglade {
namespace {

class Follower : public VersionFollower {
 public:
  Follower(FollowerConfig config, uint64_t seed, Instant now)
      : config_(std::move(config)), random_(seed), next_notice_(now) {}

  FollowerEffects OnTick(Instant now) override {
    FollowerEffects effects;
    AskForFloor(now, effects);
    SendNotices(now, effects);
    return effects;
  }

  FollowerEffects OnMessage(const std::string& from,
                            const DistributionMessage& message,
                            Instant now) override {
    FollowerEffects effects;
    if (const auto* notice = std::get_if<VersionNotice>(&message)) {
      OnNotice(from, *notice, now, effects);
    } else if (const auto* pull = std::get_if<VersionPull>(&message)) {
      effects.send.push_back({from, history_.AnswerTo(*pull)});
    } else if (const auto* answer = std::get_if<VersionPullAnswer>(&message)) {
      pull_open_until_ = now;
      history_.TakeAnswer(*answer);
      Activate(effects);
    }
    return effects;
  }

  FollowerEffects OnCommitted(const ConfigVersionPtr& version,
                              Instant now) override {
    FollowerEffects effects;
    if (history_.Take(version)) next_notice_ = now;
    Activate(effects);
    return effects;
  }

  FollowerEffects OnFloor(uint64_t number) override {
    FollowerEffects effects;
    if (floor_known_) return effects;
    floor_known_ = true;
    floor_ = number;
    Activate(effects);
    return effects;
  }

  void SetPeers(std::vector<DistributionPeer> peers) override {
    peers_ = std::move(peers);
  }

  const ConfigVersionPtr& InUse() const override { return in_use_; }
  bool FloorKnown() const override { return floor_known_; }

  std::string WaitingFor() const override {
    if (!floor_known_) {
      return "the leader of a majority of the replicas to tell the latest "
             "version";
    }
    if (in_use_ == nullptr) return "version " + std::to_string(floor_);
    return "";
  }

 private:
  static constexpr size_t kNoticeFanout = 3;

  void AskForFloor(Instant now, FollowerEffects& effects) {
    if (floor_known_ || now < next_floor_read_) return;
    const auto interval = static_cast<uint64_t>(config_.floor_interval.count());
    next_floor_read_ =
        now +
        Duration(static_cast<int64_t>(interval / 2 + random_.Below(interval)));
    effects.read_floor = true;
  }

  void OnNotice(const std::string& from, const VersionNotice& notice,
                Instant now, FollowerEffects& effects) {
    if (notice.number <= history_.Latest()->number || now < pull_open_until_) {
      return;
    }
    pull_open_until_ = now + config_.pull_timeout;
    effects.send.push_back({from, VersionPull{history_.Latest()->number,
                                              history_.Latest()->digest}});
  }

  void SendNotices(Instant now, FollowerEffects& effects) {
    if (now < next_notice_ || peers_.empty()) return;
    const auto interval =
        static_cast<uint64_t>(config_.notice_interval.count());
    next_notice_ =
        now +
        Duration(static_cast<int64_t>(interval / 2 + random_.Below(interval)));
    const VersionNotice notice{history_.Latest()->number,
                               history_.Latest()->digest};
    for (size_t i = 0; i < std::min(kNoticeFanout, peers_.size()); ++i) {
      const DistributionPeer& peer = peers_[random_.Below(peers_.size())];
      effects.send.push_back({peer.address, notice});
    }
  }

  void Activate(FollowerEffects& effects) {
    const ConfigVersionPtr& latest = history_.Latest();
    if (!floor_known_ || latest->number < floor_) return;
    if (in_use_ != nullptr && in_use_->number >= latest->number) return;
    in_use_ = latest;
    effects.activate = latest;
  }

  FollowerConfig config_;
  Random random_;
  VersionHistory history_;
  ConfigVersionPtr in_use_;
  std::vector<DistributionPeer> peers_;

  bool floor_known_ = false;
  uint64_t floor_ = 0;
  Instant next_floor_read_;

  Instant next_notice_;
  Instant pull_open_until_;
};

}  // namespace

std::unique_ptr<VersionFollower> MakeVersionFollower(FollowerConfig config,
                                                     uint64_t seed,
                                                     Instant now) {
  return std::make_unique<Follower>(std::move(config), seed, now);
}

}  // namespace hibiscusglade
