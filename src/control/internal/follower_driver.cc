#include "control/internal/follower_driver.h"

#include <utility>

#include "base/log.h"
#include "control/internal/control_codec.h"

namespace hibiscusglade {

FollowerDriver::FollowerDriver(
    const Clock& clock, Metrics& metrics, PeerMessenger& messenger,
    GroupClient& group_client, ActivationListener listener,
    LatestNumberReader::LeavesListener leaves_listener,
    std::function<void()> rollouts_listener)
    : clock_(clock),
      asks_(metrics.CounterOf("version_asks_total", "")),
      messenger_(messenger),
      latest_number_(
          group_client, clock,
          [this](uint64_t number, Instant begun_at) {
            apply_time_ = {};
            ApplyEffects(
                follower_->OnLatestRead(number, begun_at, clock_.Now()));
          },
          std::move(leaves_listener),
          [this](const RolloutsAt& rollouts) { OnRollouts(rollouts); }),
      listener_(std::move(listener)),
      rollouts_listener_(std::move(rollouts_listener)) {}

void FollowerDriver::OnRollouts(const RolloutsAt& rollouts) {
  if (rollouts.revision <= follower_->Rollouts().revision) return;
  ApplyEffects(follower_->OnRollouts(rollouts));
}

void FollowerDriver::Start(const FollowerConfig& config, uint64_t seed,
                           Instant now, AskDirectory& directory) {
  latest_number_.SetInstance(config.instance);
  follower_ = MakeVersionFollower(config, seed, now, directory);
}

void FollowerDriver::SetPeers(std::vector<DistributionPeer> peers) {
  follower_->SetPeers(std::move(peers));
}

void FollowerDriver::OnTick(Instant now) {
  ApplyEffects(follower_->OnTick(now));
}

void FollowerDriver::OnMessage(const std::string& from, const ReturnPath& path,
                               const DistributionMessage& message,
                               Instant now) {
  Drive(from, path, [&] {
    return follower_->OnMessage(PeerMessenger::kSenderAddress, message, now);
  });
  Drive(from, path, [&] { return follower_->ApplyReceived(now); });
}

void FollowerDriver::OnAccepted(const ConfigVersionPtr& version) {
  accepted_versions_.push_back(version);
}

void FollowerDriver::HandleAcceptedVersions(Instant now) {
  for (const ConfigVersionPtr& version :
       std::exchange(accepted_versions_, {})) {
    apply_time_ = {};
    ApplyEffects(follower_->OnCommitted(version, now));
  }
}

void FollowerDriver::Drive(const std::string& from, const ReturnPath& path,
                           const std::function<FollowerEffects()>& step) {
  const Instant begin = clock_.Now();
  FollowerEffects effects = step();
  apply_time_ = clock_.Now() - begin;
  for (const DistributionSend& sent : effects.send) {
    wire::Envelope answer;
    ToWire(sent.message, answer);
    messenger_.SendOrReply(sent.address, from, path, answer);
  }
  effects.send.clear();
  ApplyEffects(effects);
}

void FollowerDriver::ApplyEffects(const FollowerEffects& effects) {
  for (const DistributionSend& sent : effects.send) {
    wire::Envelope message;
    ToWire(sent.message, message);
    if (message.version_notice().wants_answer()) asks_.Add();
    messenger_.SendOrDeliver(sent.address, message);
  }
  if (effects.read_latest) latest_number_.Read();
  if (effects.rollouts_changed) rollouts_listener_();
  if (effects.activate == nullptr) return;
  activated_at_ = clock_.Now();
  listener_(effects.activate, activated_at_);
  LogActivation(effects);
}

void FollowerDriver::LogActivation(const FollowerEffects& effects) const {
  const CatchUp& catch_up = effects.catch_up;
  Log(LogLevel::kInfo, "distribution",
      "Version " + std::to_string(effects.activate->number) + " is in use.",
      {{"confirmed_ms_ago", MillisText(follower_->Age(activated_at_))},
       {"behind_ms", MillisText(catch_up.behind)},
       {"pulls", std::to_string(catch_up.pulls)},
       {"busy", std::to_string(catch_up.busy)},
       {"unanswered", std::to_string(catch_up.unanswered)},
       {"unusable", std::to_string(catch_up.unusable)},
       {"answer_ms", MillisText(catch_up.answer_wait)},
       {"apply_ms", MillisText(apply_time_)},
       {"bytes", std::to_string(effects.activate->text.size())}});
}

}  // namespace hibiscusglade
