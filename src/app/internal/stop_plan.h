#ifndef HIBISCUSGLADE_APP_INTERNAL_STOP_PLAN_H_
#define HIBISCUSGLADE_APP_INTERNAL_STOP_PLAN_H_

#include <optional>

#include "base/clock.h"
#include "settings/daemon_settings.h"

namespace hibiscusglade {

/// Times of a planned stop.
///
/// Load pattern: a daemon gets its stop signal while requests run that need
/// longer than it takes new ones. Each of these has a deadline of its own, so
/// the daemon waits for them; only what ends the process bounds that wait.
class StopPlan {
 public:
  /// @param begin time of the stop signal.
  StopPlan(const DaemonSettings& settings, Instant begin);

  /// @return until when new requests are taken.
  Instant NoticeEnd() const { return notice_end_; }

  /// @return when a request that is taken during the stop must be able to end.
  Instant AdmissionEnd() const { return admission_end_; }

  /// @param latest_deadline of the requests that were open at any time of the
  /// stop.
  /// @return when open requests get a final answer. Callers that don't read
  /// their answers are waited for no longer than any request.
  Instant End(Instant latest_deadline) const;

  /// @return time in which final answers are sent.
  Duration FinalAnswerTime() const { return final_answer_time_; }

  friend bool operator==(const StopPlan&, const StopPlan&) = default;

 private:
  Instant notice_end_;
  Instant admission_end_;
  /// When all must end, as the process is killed a sixth of its time later;
  /// nullopt when nobody said when that is.
  std::optional<Instant> last_end_;
  Duration final_answer_time_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_INTERNAL_STOP_PLAN_H_
