#ifndef HIBISCUSGLADE_DISTRIBUTION_VERSION_FOLLOWER_H_
#define HIBISCUSGLADE_DISTRIBUTION_VERSION_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "distribution/types/distribution_types.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Who this daemon is and whom it may ask.
struct FollowerConfig {
  std::string instance;
  std::string failure_domain;
  bool replica = false;  ///< A control replica runs here.
  /// Notices at a change may be lost; users want it in force within 2 s.
  Duration notice_interval = std::chrono::milliseconds(500);
  /// A peer that has ended answers nothing; another is asked soon after.
  Duration pull_timeout = std::chrono::milliseconds(400);
  Duration busy_pause = std::chrono::milliseconds(100);
  Duration floor_interval = std::chrono::milliseconds(500);
};

/// What the caller of a follower must do.
struct FollowerEffects {
  std::vector<DistributionSend> send;
  /// The version to put in use; empty when it does not change. Its number is
  /// always above that of the version in use.
  ConfigVersionPtr activate;
  /// The caller must read the latest number from the leader of the versions
  /// group, confirmed by a majority, and tell it to OnFloor().
  bool read_floor = false;
};

/// One daemon's copy of the configuration: learns of newer versions from its
/// peers, pulls them, and puts each in use whole or not at all. Until it knows
/// a floor below which it may not serve, it has no version in use.
class VersionFollower {
 public:
  virtual ~VersionFollower() = default;

  virtual FollowerEffects OnTick(Instant now) = 0;

  /// Handles a message of a peer.
  /// @param from control address to answer to.
  virtual FollowerEffects OnMessage(const std::string& from,
                                    const DistributionMessage& message,
                                    Instant now) = 0;

  /// Takes a version that the local replica applied as committed.
  virtual FollowerEffects OnCommitted(const ConfigVersionPtr& version,
                                      Instant now) = 0;

  /// Takes the answer to `read_floor`. The read must have begun after this
  /// follower was made: then no version above `number` was in use before.
  virtual FollowerEffects OnFloor(uint64_t number) = 0;

  /// Replaces the peers known to be alive.
  virtual void SetPeers(std::vector<DistributionPeer> peers) = 0;

  /// @return the version in use; nullptr until the floor is known.
  virtual const ConfigVersionPtr& InUse() const = 0;

  /// @return whether the floor is known and held.
  virtual bool FloorKnown() const = 0;

  /// @return a short sentence on why there is no version in use; empty else.
  virtual std::string WaitingFor() const = 0;
};

std::unique_ptr<VersionFollower> MakeVersionFollower(FollowerConfig config,
                                                     uint64_t seed,
                                                     Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_VERSION_FOLLOWER_H_
