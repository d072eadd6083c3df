#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_TURN_REPORTER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_TURN_REPORTER_H_

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"

namespace hibiscusglade {

/// Records how long the turns of the control thread take, and logs long ones:
/// drains and new versions wait for their end.
class TurnReporter {
 public:
  TurnReporter(const Clock& clock, Metrics& metrics)
      : clock_(clock),
        turn_seconds_(metrics.HistogramOf("control_turn_seconds", "")) {}

  /// @param busy time that the turn took beyond its wait for messages.
  void Report(Duration busy);

 private:
  const Clock& clock_;
  LatencyHistogram& turn_seconds_;
  LogRateLimiter long_turns_{1};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_TURN_REPORTER_H_
