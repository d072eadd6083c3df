#ifndef HIBISCUSGLADE_DISTRIBUTION_VERSION_FOLLOWER_H_
#define HIBISCUSGLADE_DISTRIBUTION_VERSION_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "distribution/ask_directory.h"
#include "distribution/types/distribution_types.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Identity of this daemon and timing of its follower.
struct FollowerConfig {
  std::string instance;
  std::string failure_domain;
  bool replica = false;  ///< A control replica runs here.
  /// Interval at which a replica has the latest number confirmed by a quorum. A
  /// change must be in force within 2 s, so that each daemon has to notice well
  /// before that that it receives no confirmations.
  Duration confirm_interval = std::chrono::milliseconds(400);
  /// A daemon asks for the latest version when the last confirmation is older.
  Duration max_age = std::chrono::milliseconds(800);
  /// The same for a relay, which asks on behalf of its failure domain.
  Duration max_relay_age = std::chrono::milliseconds(500);
  Duration ask_interval = std::chrono::milliseconds(200);
  /// A stopped peer does not answer; after this time another one is asked.
  Duration pull_timeout = std::chrono::milliseconds(400);
  Duration pull_retry_pause = std::chrono::milliseconds(100);
  Duration floor_interval = std::chrono::milliseconds(500);
};

/// Actions that a follower requests from the code that drives it.
struct FollowerEffects {
  std::vector<DistributionSend> send;
  /// The version to put in use; nullptr when it does not change. Its number is
  /// always above that of the version in use.
  ConfigVersionPtr activate;
  CatchUp catch_up;  ///< What led to `activate`.
  /// Whether to read the latest number from the leader of the versions group,
  /// confirmed by a majority, and to pass it to OnLatestRead().
  bool read_latest = false;
  bool rollouts_changed = false;  ///< See VersionFollower::Rollouts().
};

/// One daemon's copy of the configuration. Receives notices of newer versions
/// from its peers, pulls these versions and puts each in use atomically. Has no
/// version in use until it knows the floor, the lowest version that the daemon
/// may serve by, and has a version at or above it.
///
/// Replicas have the latest number confirmed by a quorum, and the confirmations
/// are passed on along the ring of each failure domain. So each daemon knows
/// since when its version may have been out of date, and asks others for the
/// latest one when that is too long ago.
class VersionFollower {
 public:
  virtual ~VersionFollower() = default;

  virtual FollowerEffects OnTick(Instant now) = 0;

  /// Handles a message of a peer.
  /// @param from control address to answer to.
  virtual FollowerEffects OnMessage(const std::string& from,
                                    const DistributionMessage& message,
                                    Instant now) = 0;

  /// Applies changes that the last message brought, when they were to be passed
  /// on first. Called once the effects of that message have been carried out,
  /// as applying many changes takes much longer than passing them on.
  virtual FollowerEffects ApplyReceived(Instant now) = 0;

  /// Handles a version that the local replica has committed and applied.
  virtual FollowerEffects OnCommitted(const ConfigVersionPtr& version,
                                      Instant now) = 0;

  /// Handles the number read for `read_latest`: a first one is the floor.
  /// @param begun_at when the read began: no later version was committed then.
  /// Not before this follower was created, so that no version above `number`
  /// was in use here before.
  virtual FollowerEffects OnLatestRead(uint64_t number, Instant begun_at,
                                       Instant now) = 0;

  /// Handles the rollouts that a majority of the replicas has recorded. Those
  /// of an earlier revision change nothing.
  virtual FollowerEffects OnRollouts(const RolloutsAt& rollouts) = 0;

  /// @return the latest rollouts known here, of one revision.
  virtual const RolloutsAt& Rollouts() const = 0;

  /// Replaces the list of live peers. Those of the own failure domain come
  /// first, in order of their distance on its ring: 1, 2, 4, ...
  virtual void SetPeers(std::vector<DistributionPeer> peers) = 0;

  /// @return the version in use; nullptr until the floor is known and reached.
  virtual const ConfigVersionPtr& InUse() const = 0;

  /// @return whether the floor is known; it may not be reached yet.
  virtual bool FloorKnown() const = 0;

  /// @return the time since the version here was last confirmed as the latest
  /// one; absent while it never was.
  virtual std::optional<Duration> Age(Instant now) const = 0;

  /// @return what is missing to serve by a version; empty afterwards.
  virtual std::string WaitingFor() const = 0;
};

/// @param directory whom to ask besides peers; must outlive the follower.
std::unique_ptr<VersionFollower> MakeVersionFollower(FollowerConfig config,
                                                     uint64_t seed, Instant now,
                                                     AskDirectory& directory);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_VERSION_FOLLOWER_H_
