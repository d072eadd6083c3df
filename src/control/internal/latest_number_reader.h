#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_LATEST_NUMBER_READER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_LATEST_NUMBER_READER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "control/internal/group_client.h"
#include "membership/types/upstream_leave.h"
#include "rollouts/rollout_codec.h"

namespace hibiscusglade {

/// Reads the number of the latest version from the leader, one read at a time.
/// The first one that is answered also brings the leaves that were recorded for
/// this daemon before it started: it needs both before it serves. Used on the
/// control thread only.
class LatestNumberReader {
 public:
  /// Called with the result of a read that succeeded.
  /// @param number of the latest version; 0 when there is none.
  /// @param begun_at when the read began.
  using Listener = std::function<void(uint64_t number, Instant begun_at)>;

  /// Called once, before the first call of the Listener.
  using LeavesListener = std::function<void(std::vector<UpstreamLeave>)>;

  /// Called before the Listener with the rollouts that a read has brought.
  using RolloutsListener = std::function<void(const RolloutsAt&)>;

  LatestNumberReader(GroupClient& group_client, const Clock& clock,
                     Listener listener, LeavesListener leaves_listener,
                     RolloutsListener rollouts_listener = nullptr)
      : group_client_(group_client),
        clock_(clock),
        listener_(std::move(listener)),
        leaves_listener_(std::move(leaves_listener)),
        rollouts_listener_(std::move(rollouts_listener)) {}

  /// @param instance whose recorded leaves the first read asks for.
  void SetInstance(std::string instance) { leaves_of_ = std::move(instance); }

  /// Begins a read. Has no effect while another one is unanswered.
  void Read();

 private:
  GroupClient& group_client_;
  const Clock& clock_;
  Listener listener_;
  LeavesListener leaves_listener_;
  RolloutsListener rollouts_listener_;
  uint64_t rollout_revision_ = 0;  ///< Of the states read last.
  std::string leaves_of_;          ///< Empty once they have been read.
  bool pending_ = false;
  bool reads_history_ = false;  ///< Whether the next read asks for a history.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_LATEST_NUMBER_READER_H_
