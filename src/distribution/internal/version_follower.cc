#include "distribution/version_follower.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/random.h"
#include "distribution/internal/ask_schedule.h"
#include "distribution/internal/rollout_book.h"
#include "distribution/internal/version_history.h"

namespace hibiscusglade {
namespace {

class Follower : public VersionFollower {
 public:
  Follower(FollowerConfig config, uint64_t seed, Instant now,
           AskDirectory& directory)
      : config_(std::move(config)),
        random_(seed),
        directory_(directory),
        asks_(config_.ask_interval, random_) {}

  FollowerEffects OnTick(Instant now) override {
    FollowerEffects effects;
    RequestLatest(now, effects);
    PullWhenBehind(now, effects);
    AskWhenTooOld(now, effects);
    return effects;
  }

  FollowerEffects OnMessage(const std::string& from,
                            const DistributionMessage& message,
                            Instant now) override {
    FollowerEffects effects;
    if (const auto* notice = std::get_if<VersionNotice>(&message)) {
      OnNotice(from, *notice, now, effects);
    } else if (const auto* pull = std::get_if<VersionPull>(&message)) {
      effects.send.push_back({from, AnswerPull(*pull, now)});
    } else if (const auto* answer = std::get_if<VersionPullAnswer>(&message)) {
      if (answer->unsolicited) {
        OnUnsolicited(from, *answer, now, effects);
      } else {
        OnPullAnswer(from, *answer, now, effects);
      }
    }
    return effects;
  }

  FollowerEffects ApplyReceived(Instant now) override {
    FollowerEffects effects;
    if (!received_.has_value()) return effects;
    const Received received = *std::exchange(received_, std::nullopt);
    if (received.answer.unsolicited) {
      ApplyUnsolicited(received.from, received.answer, now, effects);
    } else {
      ApplyPulled(received.answer, now, effects);
    }
    return effects;
  }

  FollowerEffects OnCommitted(const ConfigVersionPtr& version,
                              Instant now) override {
    FollowerEffects effects;
    history_.Add(version);
    Activate(now, effects, Origin::kOwnReplica);
    return effects;
  }

  FollowerEffects OnLatestRead(uint64_t number, Instant begun_at,
                               Instant now) override {
    FollowerEffects effects;
    if (!floor_known_) {
      floor_known_ = true;
      floor_ = number;
      Activate(now, effects);
      // A replica has the version in its log.
      if (!config_.replica) PullWhenBehind(now, effects);
    }
    const size_t receivers = config_.replica ? OwnDomainPeers() : 0;
    OnConfirmation({number, begun_at, static_cast<uint32_t>(receivers)}, now,
                   effects);
    return effects;
  }

  FollowerEffects OnRollouts(const RolloutsAt& rollouts) override {
    FollowerEffects effects;
    if (rollouts_.Adopt(rollouts)) ShareRollouts(effects);
    return effects;
  }

  const RolloutsAt& Rollouts() const override { return rollouts_.Known(); }

  void SetPeers(std::vector<DistributionPeer> peers) override {
    peers_ = std::move(peers);
  }

  const ConfigVersionPtr& InUse() const override { return in_use_; }
  bool FloorKnown() const override { return floor_known_; }

  std::optional<Duration> Age(Instant now) const override {
    if (!confirmed_at_) return std::nullopt;
    return now - *confirmed_at_;
  }

  std::string WaitingFor() const override {
    if (!floor_known_) {
      return "the leader of a majority of the replicas to tell the latest "
             "version";
    }
    if (in_use_ == nullptr) return "version " + std::to_string(floor_);
    if (in_use_->number == 0) return "a first version to be accepted";
    return "";
  }

 private:
  /// Where a version came from.
  enum class Origin { kOwnReplica, kPeer };

  static constexpr size_t kMaxPullsPerWindow = 10;
  /// Versions with longer patches are not sent to peers that may have them.
  static constexpr size_t kMaxUnsolicitedBytes = 1024;
  static constexpr Duration kPullCountWindow = std::chrono::milliseconds(500);
  /// A confirmation that is newer by less than this than the one passed on last
  /// is not passed on, as it reached the daemon by a second path.
  static constexpr Duration kMinAdvance = std::chrono::milliseconds(150);
  /// A relay that has sent more asks past its failure domain since it was
  /// answered from there does not speak for the domain.
  static constexpr size_t kMaxUnansweredElsewhere = 2;

  /// That no version after `number` was committed at a time.
  struct Confirmation {
    uint64_t number = 0;
    Instant as_of;
    uint32_t forward_to = 0;  ///< Nearest peers to pass it on to.
  };

  /// Reads the latest number until the floor is known. Replicas go on, for all
  /// daemons.
  void RequestLatest(Instant now, FollowerEffects& effects) {
    if (now < next_read_ || (floor_known_ && !config_.replica)) return;
    next_read_ =
        now + (floor_known_ ? random_.Jittered(config_.confirm_interval) / 2 +
                                  config_.confirm_interval / 2
                            : random_.Jittered(config_.floor_interval));
    effects.read_latest = true;
  }

  void OnConfirmation(const Confirmation& confirmation, Instant now,
                      FollowerEffects& effects) {
    if (confirmation.number > history_.Latest()->number) {
      // That of the first number is kept: a daemon that is always a little
      // behind would reach none of the later ones.
      if (!awaited_ || awaited_->number == confirmation.number) {
        awaited_ = confirmation;
      }
      return;
    }
    if (!confirmed_at_ || confirmation.as_of > *confirmed_at_) {
      confirmed_at_ = confirmation.as_of;
    }
    const bool passes_on =
        !passed_on_ || confirmation.as_of - *passed_on_ >= kMinAdvance;
    if (!passes_on) return;
    passed_on_ = confirmation.as_of;
    // A relay that had to ask has the confirmation from outside its domain.
    const size_t receivers = IsRelay() && asks_.Asking()
                                 ? OwnDomainPeers()
                                 : confirmation.forward_to;
    PassConfirmationOn(receivers, now, effects);
  }

  /// Sends a confirmation to the nearest peers of the own failure domain, in
  /// the same way as PassOn() does with changes.
  void PassConfirmationOn(size_t most_peers, Instant now,
                          FollowerEffects& effects) const {
    VersionNotice notice = LatestNotice();
    notice.age = Age(now);
    for (size_t distance_log = std::min(most_peers, OwnDomainPeers());
         distance_log-- > 0;) {
      notice.forward_to = static_cast<uint32_t>(distance_log);
      effects.send.push_back({peers_[distance_log].address, notice});
    }
  }

  /// Asks others for the latest version when the last confirmation is too old
  /// or the peers that know a newer version do not answer.
  void AskWhenTooOld(Instant now, FollowerEffects& effects) {
    const std::optional<Duration> age = Age(now);
    const Duration max_age =
        IsRelay() ? config_.max_relay_age : config_.max_age;
    const bool pulls_in_vain =
        behind_since_ && now - *behind_since_ > config_.pull_timeout;
    if (age && *age <= max_age && !pulls_in_vain) {
      asks_.Reset();
      return;
    }
    VersionNotice ask = LatestNotice();
    ask.wants_answer = true;
    ask.asked_at = now;
    for (AskScope scope : asks_.NextRound(IsRelay(), now)) {
      if (scope == AskScope::kReplicas || scope == AskScope::kOtherDomains) {
        ++unanswered_elsewhere_;
      }
      const std::string address = directory_.Next(scope);
      if (!address.empty()) effects.send.push_back({address, ask});
    }
  }

  void OnNotice(const std::string& from, const VersionNotice& notice,
                Instant now, FollowerEffects& effects) {
    if (notice.same_domain && notice.relay) asks_.OnRelayHeard();
    if (!notice.same_domain) unanswered_elsewhere_ = 0;
    if (notice.age) {
      const Instant known_at = std::min(notice.asked_at.value_or(now), now);
      OnConfirmation({notice.number, known_at - *notice.age, notice.forward_to},
                     now, effects);
    }
    // The sender may be missing from its peers' views, so that none of them
    // notifies it of newer versions.
    ExchangeRollouts(from, notice, effects);
    if (notice.wants_answer) {
      effects.send.push_back({from, AnswerTo(notice, now)});
    } else if (notice.number < history_.Latest()->number) {
      effects.send.push_back({from, LatestNotice()});
    }
    newest_notified_ = std::max(newest_notified_, notice.number);
    if (notice.number <= history_.Latest()->number) return;
    if (!behind_since_) behind_since_ = now;
    // A random peer that is waited for may be silent; this one is not.
    if (now < next_pull_ && !pulled_from_random_peer_) return;
    Pull(from, now, effects);
    pulled_from_random_peer_ = false;
  }

  /// Adopts later rollouts, asks for their states, or returns later ones.
  void ExchangeRollouts(const std::string& from, const VersionNotice& notice,
                        FollowerEffects& effects) {
    if (rollouts_.Adopt(notice.rollouts)) {
      ShareRollouts(effects);
    } else if (notice.rollouts.revision > rollouts_.Known().revision) {
      VersionNotice ask = LatestNotice();
      ask.wants_answer = true;
      effects.send.push_back({from, ask});
    } else if (rollouts_.IsBehind(notice.rollouts) && !notice.wants_answer) {
      VersionNotice later = LatestNotice();
      later.rollouts = rollouts_.Known();
      effects.send.push_back({from, later});
    }
  }

  void ShareRollouts(FollowerEffects& effects) const {
    effects.rollouts_changed = true;
    VersionNotice notice = LatestNotice();
    notice.rollouts = rollouts_.Known();
    for (const DistributionPeer& peer : peers_) {
      effects.send.push_back({peer.address, notice});
    }
  }

  VersionNotice AnswerTo(const VersionNotice& ask, Instant now) const {
    VersionNotice answer = LatestNotice();
    answer.rollouts = rollouts_.For(ask.rollouts.revision);
    answer.age = Age(now);
    answer.asked_at = ask.asked_at;
    return answer;
  }

  /// Pulls from a random peer while a newer version is known to exist.
  void PullWhenBehind(Instant now, FollowerEffects& effects) {
    const uint64_t newest = std::max(newest_notified_, floor_);
    if (history_.Latest()->number >= newest || now < next_pull_ ||
        peers_.empty()) {
      return;
    }
    Pull(peers_[random_.Below(peers_.size())].address, now, effects);
    pulled_from_random_peer_ = true;
  }

  void Pull(const std::string& address, Instant now, FollowerEffects& effects) {
    if (pulled_at_) ++catch_up_.unanswered;
    pulled_at_ = now;
    ++catch_up_.pulls;
    next_pull_ = now + config_.pull_timeout;
    effects.send.push_back({address, VersionPull{history_.Latest()->number,
                                                 history_.Latest()->digest}});
  }

  VersionPullAnswer AnswerPull(const VersionPull& pull, Instant now) {
    if (now >= pulls_counted_until_) {
      pulls_counted_until_ = now + kPullCountWindow;
      pulls_answered_ = 0;
    }
    if (pull.have_number >= history_.Latest()->number) {
      VersionPullAnswer nothing_newer;
      nothing_newer.number = history_.Latest()->number;
      nothing_newer.digest = history_.Latest()->digest;
      return nothing_newer;
    }
    if (++pulls_answered_ > kMaxPullsPerWindow) {
      VersionPullAnswer busy;
      busy.busy = true;
      return busy;
    }
    return history_.AnswerTo(pull);
  }

  void OnPullAnswer(const std::string& from, const VersionPullAnswer& answer,
                    Instant now, FollowerEffects& effects) {
    if (pulled_at_) catch_up_.answer_wait = now - *pulled_at_;
    pulled_at_.reset();
    // A relay may be the first of its failure domain to get the changes, but
    // not when it has just been started.
    if (IsRelay() && in_use_ != nullptr && IsNewer(answer) &&
        !IsSmall(answer) && PassOn(answer, peers_.size(), effects)) {
      received_ = {from, answer};
      return;
    }
    ApplyPulled(answer, now, effects);
  }

  void ApplyPulled(const VersionPullAnswer& answer, Instant now,
                   FollowerEffects& effects) {
    if (history_.ApplyAnswer(answer) != nullptr) {
      next_pull_ = now;
      Activate(now, effects);
      return;
    }
    ++(answer.busy ? catch_up_.busy : catch_up_.unusable);
    next_pull_ = now + random_.Jittered(config_.pull_retry_pause);
  }

  void OnUnsolicited(const std::string& from, const VersionPullAnswer& answer,
                     Instant now, FollowerEffects& effects) {
    if (IsNewer(answer) && PassOn(answer, answer.forward_to, effects)) {
      received_ = {from, answer};
      return;
    }
    ApplyUnsolicited(from, answer, now, effects);
  }

  /// Sends changes to the nearest peers of the own failure domain. The peer at
  /// distance 2^i serves those at distances from 2^i to 2^(i+1), so that each
  /// daemon gets one copy, two when the size of the ring is no power of two.
  /// The peer that serves most is sent its copy first.
  /// @return whether they were sent to any peer.
  bool PassOn(const VersionPullAnswer& changes, size_t most_peers,
              FollowerEffects& effects) const {
    const size_t receivers = std::min(most_peers, OwnDomainPeers());
    VersionPullAnswer passed_on = changes;
    passed_on.unsolicited = true;
    if (!changes.compressed_steps.empty()) passed_on.steps.clear();
    for (size_t distance_log = receivers; distance_log-- > 0;) {
      passed_on.forward_to = static_cast<uint32_t>(distance_log);
      effects.send.push_back({peers_[distance_log].address, passed_on});
    }
    return receivers > 0;
  }

  void ApplyUnsolicited(const std::string& from,
                        const VersionPullAnswer& answer, Instant now,
                        FollowerEffects& effects) {
    if (history_.ApplyAnswer(answer) == nullptr) {
      VersionNotice notice;
      notice.number = answer.number;
      notice.digest = answer.digest;
      OnNotice(from, notice, now, effects);
      return;
    }
    next_pull_ = now;
    Activate(now, effects);
  }

  void Notify(const DistributionPeer& peer, FollowerEffects& effects) const {
    effects.send.push_back({peer.address, LatestNotice()});
  }

  VersionNotice LatestNotice() const {
    VersionNotice notice;
    notice.number = history_.Latest()->number;
    notice.digest = history_.Latest()->digest;
    notice.rollouts.revision = rollouts_.Known().revision;
    notice.relay =
        IsRelay() && unanswered_elsewhere_ <= kMaxUnansweredElsewhere;
    return notice;
  }

  void Activate(Instant now, FollowerEffects& effects,
                Origin origin = Origin::kPeer) {
    const ConfigVersionPtr& latest = history_.Latest();
    if (!floor_known_ || latest->number < floor_) return;
    if (in_use_ != nullptr && in_use_->number >= latest->number) return;
    const ConfigVersionPtr previous = std::exchange(in_use_, latest);
    effects.activate = latest;
    if (behind_since_) catch_up_.behind = now - *behind_since_;
    effects.catch_up = std::exchange(catch_up_, {});
    behind_since_.reset();
    if (newest_notified_ > latest->number) behind_since_ = now;
    SendToPeers(ChangesSince(previous), origin, effects);
    if (awaited_ && awaited_->number <= latest->number) {
      OnConfirmation(*std::exchange(awaited_, std::nullopt), now, effects);
    }
  }

  /// @return what has changed since `previous`; without steps when this
  /// follower can't tell.
  VersionPullAnswer ChangesSince(const ConfigVersionPtr& previous) const {
    VersionPullAnswer changes;
    if (previous == nullptr) return changes;
    changes = history_.AnswerTo({previous->number, previous->digest, false});
    changes.unsolicited = true;
    return changes;
  }

  bool IsNewer(const VersionPullAnswer& answer) const {
    return answer.number > history_.Latest()->number;
  }

  /// @return whether this daemon has peers in other failure domains.
  bool IsRelay() const { return OwnDomainPeers() < peers_.size(); }

  size_t OwnDomainPeers() const {
    const auto first_of_other_domain = std::find_if(
        peers_.begin(), peers_.end(), [this](const DistributionPeer& peer) {
          return peer.failure_domain != config_.failure_domain;
        });
    return static_cast<size_t>(first_of_other_domain - peers_.begin());
  }

  static bool IsSmall(const VersionPullAnswer& changes) {
    size_t bytes = 0;
    for (const VersionStep& step : changes.steps) bytes += step.patch.size();
    return bytes <= kMaxUnsolicitedBytes;
  }

  /// Notifies peers of the version in use. Small changes are sent instead,
  /// without waiting for pulls, which may be slow on a full link. Large ones
  /// that the own replica has committed are sent through the failure domain
  /// first; peers of earlier releases, which can't read them, pull when
  /// notified.
  void SendToPeers(VersionPullAnswer changes, Origin origin,
                   FollowerEffects& effects) const {
    const bool has_changes = !changes.steps.empty();
    const bool small = has_changes && IsSmall(changes);
    if (origin == Origin::kOwnReplica && has_changes && !small) {
      changes.compress_steps = true;
      PassOn(changes, peers_.size(), effects);
    }
    for (const DistributionPeer& peer : peers_) {
      if (small) {
        effects.send.push_back({peer.address, changes});
      } else {
        Notify(peer, effects);
      }
    }
  }

  /// Changes that have been passed on but not applied yet.
  struct Received {
    std::string from;
    VersionPullAnswer answer;
  };

  FollowerConfig config_;
  Random random_;
  AskDirectory& directory_;
  AskSchedule asks_;
  VersionHistory history_;
  RolloutBook rollouts_;
  ConfigVersionPtr in_use_;
  std::optional<Received> received_;
  std::vector<DistributionPeer> peers_;

  bool floor_known_ = false;
  uint64_t floor_ = 0;
  Instant next_read_;

  std::optional<Instant> confirmed_at_;  ///< As of which it was the latest.
  std::optional<Instant> passed_on_;     ///< Time of the last one passed on.
  std::optional<Confirmation> awaited_;  ///< Of a version not received yet.
  size_t unanswered_elsewhere_ = 0;      ///< Asks past the own domain.
  uint64_t newest_notified_ = 0;
  Instant next_pull_;
  bool pulled_from_random_peer_ = false;  ///< Not from one that notified.
  std::optional<Instant> pulled_at_;  ///< Of the pull that has no answer yet.
  std::optional<Instant> behind_since_;
  CatchUp catch_up_;
  size_t pulls_answered_ = 0;
  Instant pulls_counted_until_;
};

}  // namespace

std::unique_ptr<VersionFollower> MakeVersionFollower(FollowerConfig config,
                                                     uint64_t seed, Instant now,
                                                     AskDirectory& directory) {
  return std::make_unique<Follower>(std::move(config), seed, now, directory);
}

}  // namespace hibiscusglade
