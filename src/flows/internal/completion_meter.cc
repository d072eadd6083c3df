#include "flows/completion_meter.h"

#include <algorithm>
#include <cmath>

namespace hibiscusglade {
namespace {

/// Time after which a measured run counts by 1/e.
constexpr double kMemorySeconds = 2;
constexpr double kFillMemorySeconds = 0.5;
/// Longest time for which a sample stands.
constexpr double kMaxStepSeconds = 0.2;
constexpr double kMinCompleted = 4;

}  // namespace

void CompletionMeter::Sample(const UpstreamActivity& activity, Instant now) {
  const bool same =
      activity.service == last_.service && activity.slots == last_.slots;
  const double step =
      std::min(kMaxStepSeconds,
               std::chrono::duration<double>(now - sampled_at_).count());
  sampled_at_ = now;
  if (!same) {
    busy_seconds_ = completed_ = fill_ = 0;
  } else if (activity.slots > 0) {
    const double kept = std::exp(-step / kMemorySeconds);
    busy_seconds_ = busy_seconds_ * kept + activity.running * step;
    completed_ = completed_ * kept +
                 static_cast<double>(activity.completed - last_.completed);
    const double fill = static_cast<double>(activity.running) / activity.slots;
    fill_ += (1 - std::exp(-step / kFillMemorySeconds)) * (fill - fill_);
  }
  last_ = activity;
}

std::optional<double> CompletionMeter::Capacity() const {
  if (completed_ < kMinCompleted || busy_seconds_ <= 0) return std::nullopt;
  return last_.slots * completed_ / busy_seconds_;
}

}  // namespace hibiscusglade
