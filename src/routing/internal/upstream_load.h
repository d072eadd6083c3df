#ifndef HIBISCUSGLADE_ROUTING_INTERNAL_UPSTREAM_LOAD_H_
#define HIBISCUSGLADE_ROUTING_INTERNAL_UPSTREAM_LOAD_H_

#include <algorithm>
#include <cstdint>

#include "base/clock.h"
#include "calls/types/call_types.h"
#include "routing/internal/refusal_backoff.h"
#include "routing/types/route_table.h"

namespace hibiscusglade {

/// What an entry knows of the load of one upstream.
struct UpstreamLoad {
  uint64_t rank = 0;       ///< For the choice of this entry's subset.
  uint32_t in_flight = 0;  ///< Open attempts of this entry.
  uint32_t sent_since_report = 0;
  LoadReport report;
  Instant reported_at;
  LoadReport sampled_report;  ///< For ChoicePolicy::kLeastLoaded.
  Instant sampled_at;
  RefusalBackoff backoff;

  /// @return whether the report still says something of the load of now.
  bool IsFresh(Instant now) const {
    return now < reported_at + std::chrono::milliseconds(500);
  }

  double SlotsOf(const UpstreamTarget& target) const {
    if (reported_at != Instant{}) return std::max<uint32_t>(1, report.slots);
    return std::max<uint32_t>(1, target.slots) * kUnreportedSlotShare;
  }

  /// @return estimated number of requests that the owner has queued or running.
  double UnfinishedRequests(Instant now) const {
    if (!IsFresh(now)) return in_flight;
    return std::max<double>(in_flight,
                            report.running + report.queued + sent_since_report);
  }

 private:
  /// An upstream without a load report is assumed to have this share of the
  /// slots in its record.
  static constexpr double kUnreportedSlotShare = 0.25;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_INTERNAL_UPSTREAM_LOAD_H_
