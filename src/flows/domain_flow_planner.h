#ifndef HIBISCUSGLADE_FLOWS_DOMAIN_FLOW_PLANNER_H_
#define HIBISCUSGLADE_FLOWS_DOMAIN_FLOW_PLANNER_H_

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "flows/types/service_room.h"
#include "routing/types/flow_plan.h"

namespace hibiscusglade {

/// How full a failure domain is for one service.
enum class Pressure {
  kSuffices,  ///< Nothing needs to be known of other failure domains.
  kNearFull,  ///< The room of the others should be known soon.
  kShort,     ///< It can't serve its own demand within the objectives.
};

/// Decides which share of its own failure domain's requests for a service goes
/// to which others, so that callers are served with the least bytes crossing.
///
/// Load pattern: waves of demand that differ by failure domain, and upstreams
/// that are too few in the domain with the most demand. Demand and capacity do
/// not depend on where requests are sent, so a plan doesn't move the figures
/// that it is made from, and reports that lag can't make it swing. A domain
/// lends only what its own callers leave. Single-threaded.
class DomainFlowPlanner {
 public:
  virtual ~DomainFlowPlanner() = default;

  /// Plans once; to be called at regular intervals.
  /// @param rooms of the service by failure domain; untrusted, and ignored
  /// where the figures are impossible or out of date.
  /// @param objective shortest latency objective of the service; zero: none.
  /// @return nullopt while no failure domain is known to be short, so that no
  /// plan is needed, and while the own figures are unknown.
  virtual std::optional<FlowPlan> Plan(const std::string& service,
                                       const RoomByDomain& rooms,
                                       Duration objective, Instant now) = 0;

  /// @return how full the own failure domain was at the last plan.
  virtual Pressure OwnPressure(const std::string& service) const = 0;

  /// Drops what is kept of a service.
  virtual void Forget(const std::string& service) = 0;
};

/// @param failure_domain for which flows are planned.
std::unique_ptr<DomainFlowPlanner> MakeDomainFlowPlanner(
    std::string failure_domain);

/// @return whether figures are possible at all and not out of date.
bool IsUsable(const ServiceRoom& room, Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_FLOWS_DOMAIN_FLOW_PLANNER_H_
