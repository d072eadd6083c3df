#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_START_REPORTER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_START_REPORTER_H_

#include <cstdint>
#include <set>

#include "base/clock.h"
#include "base/metrics.h"

namespace hibiscusglade {

/// What a daemon waits for between its start and its first request.
enum class StartStage : uint8_t {
  kPeers,     ///< Another daemon has answered.
  kLeader,    ///< A replica: its group has a leader.
  kFloor,     ///< The confirmed read of floor and leaves is answered.
  kVersion,   ///< A configuration is in use.
  kUpstream,  ///< The local upstream has announced itself.
};

/// Logs when each stage of a start is reached, and sets a metric. Used on the
/// control thread only.
class StartReporter {
 public:
  /// @param started when this daemon started.
  StartReporter(Instant started, Metrics& metrics)
      : started_(started), metrics_(metrics) {}

  /// Has no effect once the stage was reached.
  void OnStage(StartStage stage, Instant now);

  bool Reached(StartStage stage) const { return reached_.contains(stage); }

 private:
  Instant started_;
  Metrics& metrics_;
  std::set<StartStage> reached_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_START_REPORTER_H_
