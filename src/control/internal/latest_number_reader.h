#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_LATEST_NUMBER_READER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_LATEST_NUMBER_READER_H_

#include <cstdint>
#include <functional>
#include <utility>

#include "base/clock.h"
#include "control/internal/group_client.h"

namespace hibiscusglade {

/// Reads the number of the latest version from the leader, one read at a time.
/// Used on the control thread only.
class LatestNumberReader {
 public:
  /// Called with the result of a read that succeeded.
  /// @param number of the latest version; 0 when there is none.
  /// @param begun_at when the read began.
  using Listener = std::function<void(uint64_t number, Instant begun_at)>;

  LatestNumberReader(GroupClient& group_client, const Clock& clock,
                     Listener listener)
      : group_client_(group_client),
        clock_(clock),
        listener_(std::move(listener)) {}

  /// Begins a read. Has no effect while another one is unanswered.
  void Read();

 private:
  GroupClient& group_client_;
  const Clock& clock_;
  Listener listener_;
  bool pending_ = false;
  bool reads_history_ = false;  ///< Whether the next read asks for a history.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_LATEST_NUMBER_READER_H_
