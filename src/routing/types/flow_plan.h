#ifndef HIBISCUSGLADE_ROUTING_TYPES_FLOW_PLAN_H_
#define HIBISCUSGLADE_ROUTING_TYPES_FLOW_PLAN_H_

#include <map>
#include <string>

namespace hibiscusglade {

/// What one failure domain sends to another one.
struct DomainFlow {
  double share = 0;       ///< Of the sender's requests for the service.
  bool has_room = false;  ///< Beyond the share, for what is refused at home.

  friend bool operator==(const DomainFlow&, const DomainFlow&) = default;
};

/// Where a failure domain's requests for one service go. What isn't sent to
/// another domain stays at home.
struct FlowPlan {
  std::map<std::string, DomainFlow> flows;  ///< By receiving failure domain.

  /// @return share of the requests that leaves the failure domain.
  double Outside() const {
    double sum = 0;
    for (const auto& [domain, flow] : flows) sum += flow.share;
    return sum;
  }

  friend bool operator==(const FlowPlan&, const FlowPlan&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_TYPES_FLOW_PLAN_H_
