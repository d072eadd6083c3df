#ifndef HIBISCUSGLADE_FLOWS_COMPLETION_METER_H_
#define HIBISCUSGLADE_FLOWS_COMPLETION_METER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "calls/types/upstream_activity.h"

namespace hibiscusglade {

/// Measures how many requests/s the upstream beside a daemon can complete: its
/// slots over the time that a run has lately held one (Little's law), so that
/// noise beside it and calls that its runs wait for count. Single-threaded.
class CompletionMeter {
 public:
  /// To be called often while the upstream works.
  void Sample(const UpstreamActivity& activity, Instant now);

  /// @return requests/s with all slots in use; nullopt while too few runs have
  /// ended lately.
  std::optional<double> Capacity() const;

  /// @return moving average of the share of slots in use.
  double Fill() const { return fill_; }

  const UpstreamActivity& Last() const { return last_; }

 private:
  UpstreamActivity last_;
  Instant sampled_at_;
  double busy_seconds_ = 0;  ///< Of slots; decays.
  double completed_ = 0;     ///< Decays at the same rate.
  double fill_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_FLOWS_COMPLETION_METER_H_
