#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "base/clock.h"

namespace hibiscusglade {

/// Median service time of the last requests of a class. A median, because a
/// few stragglers would pull a mean above every deadline; of few, so that a
/// slowdown and its end show after a handful of requests.
class ServiceEstimate {
 public:
  void Add(Duration sample) {
    if (sample <= Duration{}) return;
    samples_[next_] = sample;
    next_ = (next_ + 1) % kSamples;
    count_ = std::min(count_ + 1, kSamples);
    std::array<Duration, kSamples> sorted = samples_;
    std::sort(sorted.begin(), sorted.begin() + static_cast<long>(count_));
    median_ = sorted[(count_ - 1) / 2];
  }

  /// @return the estimate; zero while nothing was learned.
  Duration Median() const { return median_; }

 private:
  static constexpr size_t kSamples = 9;

  std::array<Duration, kSamples> samples_{};
  size_t next_ = 0;
  size_t count_ = 0;
  Duration median_{};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
