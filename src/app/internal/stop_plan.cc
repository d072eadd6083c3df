#include "app/internal/stop_plan.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// Longest time for final answers to those whose requests were cut.
constexpr Duration kFinalAnswerTime = std::chrono::milliseconds(500);

}  // namespace

StopPlan::StopPlan(const DaemonSettings& settings, Instant begin)
    : final_answer_time_(kFinalAnswerTime) {
  Duration admission = std::chrono::seconds(settings.stop_timeout_s);
  if (settings.kill_after_s > 0) {
    const Duration kill_after = std::chrono::seconds(settings.kill_after_s);
    const Duration last = kill_after * 5 / 6;
    admission = std::min(admission, last);
    last_end_ = begin + last;
    final_answer_time_ = std::min(final_answer_time_, (kill_after - last) / 2);
  }
  const Duration notice = std::chrono::milliseconds(settings.stop_notice_ms);
  notice_end_ = begin + std::min(notice, admission / 2);
  admission_end_ = begin + admission;
}

Instant StopPlan::End(Instant latest_deadline) const {
  // A request that reaches its deadline has a final answer of its own, which
  // must still be sent.
  const Instant end =
      std::max(admission_end_, latest_deadline + kFinalAnswerTime);
  return last_end_.has_value() ? std::min(end, *last_end_) : end;
}

}  // namespace hibiscusglade
