#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "base/clock.h"

namespace hibiscusglade {

/// Ring buffer of the most recent samples of a duration.
template <size_t kSamples>
class LastSamples {
 public:
  void Add(Duration sample) {
    samples_[next_] = sample;
    next_ = (next_ + 1) % kSamples;
    count_ = std::min(count_ + 1, kSamples);
  }

  size_t Count() const { return count_; }

  /// @return the sample that the given percentage of samples does not exceed;
  /// zero while there are no samples.
  Duration Percentile(size_t percent) const {
    if (count_ == 0) return {};
    std::array<Duration, kSamples> sorted = samples_;
    const size_t index = (count_ - 1) * percent / kHundredPercent;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<long>(index),
                     sorted.begin() + static_cast<long>(count_));
    return sorted[index];
  }

 private:
  static constexpr size_t kHundredPercent = 100;

  std::array<Duration, kSamples> samples_{};
  size_t next_ = 0;
  size_t count_ = 0;
};

/// Median and high percentile of a class's recent service times. The median
/// covers few samples, so that a slowdown and its end show after a handful of
/// requests. It is not a mean, because stragglers would pull a mean above every
/// deadline.
class ServiceEstimate {
 public:
  void Add(Duration sample) {
    if (sample <= Duration{}) return;
    median_samples_.Add(sample);
    high_samples_.Add(sample);
    median_ = median_samples_.Percentile(kMedianPercent);
    high_ = high_samples_.Percentile(kHighPercent);
  }

  /// @return zero while there are no samples.
  Duration Median() const { return median_; }

  /// @return the number of samples that the median covers.
  size_t MedianSamples() const { return median_samples_.Count(); }

  /// @return the time that five in six requests do not exceed; zero while there
  /// are no samples.
  Duration HighPercentile() const { return high_; }

 private:
  static constexpr size_t kMedianSamples = 9;
  static constexpr size_t kMedianPercent = 50;
  /// Large enough that single stragglers, a few in a hundred requests, do not
  /// determine the percentile.
  static constexpr size_t kHighSamples = 24;
  static constexpr size_t kHighPercent = 83;

  LastSamples<kMedianSamples> median_samples_;
  LastSamples<kHighSamples> high_samples_;
  Duration median_{};
  Duration high_{};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
