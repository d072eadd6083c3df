#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "base/clock.h"

namespace hibiscusglade {

/// The last samples of a time, as a ring.
template <size_t kSamples>
class LastSamples {
 public:
  void Add(Duration sample) {
    samples_[next_] = sample;
    next_ = (next_ + 1) % kSamples;
    count_ = std::min(count_ + 1, kSamples);
  }

  /// @param percent of the samples that are no larger.
  /// @return zero while there is none.
  Duration Quantile(size_t percent) const {
    if (count_ == 0) return {};
    std::array<Duration, kSamples> sorted = samples_;
    const size_t index = (count_ - 1) * percent / kWhole;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<long>(index),
                     sorted.begin() + static_cast<long>(count_));
    return sorted[index];
  }

 private:
  static constexpr size_t kWhole = 100;

  std::array<Duration, kSamples> samples_{};
  size_t next_ = 0;
  size_t count_ = 0;
};

/// Service times of the last requests of a class. The median is that of few,
/// so that a slowdown and its end show after a handful of requests; a mean
/// would be pulled above every deadline by stragglers.
class ServiceEstimate {
 public:
  void Add(Duration sample) {
    if (sample <= Duration{}) return;
    last_.Add(sample);
    more_.Add(sample);
    median_ = last_.Quantile(kMedianPercent);
    high_ = more_.Quantile(kHighPercent);
  }

  /// @return the usual time; zero while nothing was learned.
  Duration Median() const { return median_; }

  /// @return time that five in six requests keep to; zero while nothing was
  /// learned.
  Duration High() const { return high_; }

 private:
  static constexpr size_t kMedianSamples = 9;
  static constexpr size_t kMedianPercent = 50;
  /// Enough that single stragglers, of which there are some in a hundred, do
  /// not decide.
  static constexpr size_t kHighSamples = 24;
  static constexpr size_t kHighPercent = 83;

  LastSamples<kMedianSamples> last_;
  LastSamples<kHighSamples> more_;
  Duration median_{};
  Duration high_{};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
