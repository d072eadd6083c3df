#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_HELD_READS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_HELD_READS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "consensus/replica.h"
#include "control/internal/group_client.h"

namespace hibiscusglade {

/// Reads that arrive at a replica that has known no leader since it started.
/// They are held until it knows one, rather than refused.
///
/// Load pattern: a whole mesh starts at one moment, and each daemon reads its
/// floor while the replicas still elect. Refused, each asks again by a timer,
/// and the answer comes a timer's length after the leader.
///
/// Only the wait for a first leader is shortened so: a replica that has lost
/// its leader may be cut off, and another one answers sooner.
class HeldReads {
 public:
  struct Held {
    GroupRequest request;
    Instant until;
    ReplicaCallback done;
  };

  /// Holds a read unless a leader is or was known, the replica has been running
  /// for long or too many are held.
  /// @param done moved from when the read is held.
  /// @return whether it is held.
  bool Hold(const GroupRequest& request, bool leader_known, Instant now,
            ReplicaCallback& done);

  /// @return the reads that are to be answered now: all once a leader is known,
  /// otherwise those that were held for long enough.
  std::vector<Held> TakeDue(bool leader_known, Instant now);

 private:
  /// Below the time after which a client takes a replica for silent.
  static constexpr Duration kLongestHold = std::chrono::milliseconds(400);
  /// Well above the time in which replicas elect.
  static constexpr Duration kStart = std::chrono::seconds(3);
  static constexpr size_t kMostHeld = 4096;

  bool leader_seen_ = false;
  std::optional<Instant> first_at_;
  std::vector<Held> held_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_HELD_READS_H_
