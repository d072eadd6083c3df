#include "distribution/version_follower.h"

#include <algorithm>
#include <set>
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
    } else if (const auto* query = std::get_if<FloorQuery>(&message)) {
      effects.send.push_back({from, AnswerFloor(*query)});
    } else if (const auto* floor = std::get_if<FloorAnswer>(&message)) {
      OnFloorAnswer(from, *floor, effects);
    }
    return effects;
  }

  FollowerEffects OnCommitted(const ConfigVersionPtr& version,
                              Instant now) override {
    FollowerEffects effects;
    if (history_.Take(version)) next_notice_ = now;
    replica_committed_ = std::max(replica_committed_, version->number);
    Activate(effects);
    return effects;
  }

  FollowerEffects OnReplicaCurrent(uint64_t number, Instant) override {
    FollowerEffects effects;
    replica_current_ = true;
    SetFloor(number);
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
      return "a majority of the replicas to confirm the lowest version";
    }
    if (in_use_ == nullptr) return "version " + std::to_string(floor_);
    return "";
  }

 private:
  static constexpr size_t kNoticeFanout = 3;

  void AskForFloor(Instant now, FollowerEffects& effects) {
    if (floor_known_ || now < next_floor_query_) return;
    next_floor_query_ = now + config_.floor_interval;
    ++floor_query_;
    floor_answers_.clear();
    floor_seen_ = 0;
    for (const std::string& replica : config_.replicas) {
      effects.send.push_back({replica, FloorQuery{floor_query_}});
    }
  }

  FloorAnswer AnswerFloor(const FloorQuery& query) const {
    const uint64_t in_use = in_use_ == nullptr ? 0 : in_use_->number;
    return {query.query, replica_committed_, config_.replica, replica_current_,
            in_use};
  }

  void OnFloorAnswer(const std::string& from, const FloorAnswer& answer,
                     FollowerEffects& effects) {
    if (floor_known_ || answer.query != floor_query_ || !answer.replica ||
        !answer.current) {
      return;
    }
    floor_answers_.insert(from);
    floor_seen_ = std::max(floor_seen_, answer.committed);
    if (floor_answers_.size() * 2 <= config_.replicas.size()) return;
    SetFloor(floor_seen_);
    Activate(effects);
  }

  void SetFloor(uint64_t floor) {
    if (floor_known_) return;
    floor_known_ = true;
    floor_ = floor;
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
  uint64_t floor_query_ = 0;
  uint64_t floor_seen_ = 0;
  std::set<std::string> floor_answers_;
  Instant next_floor_query_;

  uint64_t replica_committed_ = 0;
  bool replica_current_ = false;
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
