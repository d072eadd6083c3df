#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_

#include "platform/clock.h"

namespace hibiscusglade {

/// Learns the median service time of a class. A median, because a few
/// stragglers would pull a mean above every deadline.
class ServiceEstimate {
 public:
  void Add(Duration sample) {
    if (sample <= Duration{}) return;
    if (micros_ == 0) {
      micros_ = static_cast<double>(sample.count());
      return;
    }
    micros_ *= static_cast<double>(sample.count()) > micros_ ? 1 + kStep
                                                             : 1 / (1 + kStep);
  }

  /// @return the estimate; zero while nothing was learned.
  Duration Median() const { return Duration(static_cast<int64_t>(micros_)); }

 private:
  static constexpr double kStep = 0.05;

  double micros_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_SERVICE_ESTIMATE_H_
