#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_FOLLOWER_DRIVER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_FOLLOWER_DRIVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/internal/group_client.h"
#include "control/internal/latest_number_reader.h"
#include "control/internal/peer_messenger.h"
#include "distribution/version_follower.h"

namespace hibiscusglade {

/// Passes messages, versions and the time to the version follower, and carries
/// out its effects. Used on the control thread only.
class FollowerDriver {
 public:
  /// Called when a version has come into use.
  using ActivationListener =
      std::function<void(const ConfigVersionPtr& version, Instant now)>;

  /// @param leaves_listener called once, before a first version comes into use.
  /// @param rollouts_listener called when the known rollouts have changed.
  FollowerDriver(const Clock& clock, Metrics& metrics, PeerMessenger& messenger,
                 GroupClient& group_client, ActivationListener listener,
                 LatestNumberReader::LeavesListener leaves_listener,
                 std::function<void()> rollouts_listener);

  /// Makes the follower. Must be called before the other methods, except for
  /// OnAccepted().
  /// @param directory must outlive this object.
  void Start(const FollowerConfig& config, uint64_t seed, Instant now,
             AskDirectory& directory);

  void SetPeers(std::vector<DistributionPeer> peers);
  void OnTick(Instant now);

  /// Handles a message. Messages to the sender are sent as replies.
  void OnMessage(const std::string& from, const ReturnPath& path,
                 const DistributionMessage& message, Instant now);

  /// Queues a version that the local replica has accepted, for
  /// HandleAcceptedVersions().
  void OnAccepted(const ConfigVersionPtr& version);
  void HandleAcceptedVersions(Instant now);

  /// Takes rollouts that the local replica has applied.
  void OnRollouts(const RolloutsAt& rollouts);

  const VersionFollower& Follower() const { return *follower_; }

  /// @return when the version in use came into use.
  Instant ActivatedAt() const { return activated_at_; }

 private:
  /// Runs a step of the follower that a message caused, and carries out its
  /// effects. Messages to the sender are sent as replies.
  void Drive(const std::string& from, const ReturnPath& path,
             const std::function<FollowerEffects()>& step);
  void ApplyEffects(const FollowerEffects& effects);
  void LogActivation(const FollowerEffects& effects) const;

  const Clock& clock_;
  Counter& asks_;
  PeerMessenger& messenger_;
  LatestNumberReader latest_number_;
  ActivationListener listener_;
  std::function<void()> rollouts_listener_;
  std::unique_ptr<VersionFollower> follower_;
  std::vector<ConfigVersionPtr> accepted_versions_;
  Instant activated_at_;
  Duration apply_time_{};  ///< Spent on the last answer of a peer.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_FOLLOWER_DRIVER_H_
