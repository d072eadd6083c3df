#ifndef HIBISCUSGLADE_FLOWS_DOMAIN_FLOWS_H_
#define HIBISCUSGLADE_FLOWS_DOMAIN_FLOWS_H_

#include <functional>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "calls/types/upstream_activity.h"
#include "peer/request_part.h"
#include "routing/flow_router.h"
#include "routing/route_table_holder.h"

namespace hibiscusglade {

/// Dependencies of a daemon's part in the flows between failure domains; all
/// must outlive it.
struct DomainFlowsParts {
  RequestPlaneSender send;
  const RouteTableHolder& routes;
  FlowRouter& router;
  std::function<UpstreamActivity()> activity;
  Metrics& metrics;
};

struct DomainFlowsConfig {
  std::string instance;
  std::string failure_domain;
  double link_mbps = 0;  ///< Of this instance, in 10^6 bit/s; 0: unknown.
};

/// Reports demand and capacity of this daemon while a service is pressed, and
/// takes over the plans that its failure domain's coordinator answers with.
/// Coordinates those services that the daemons of its failure domain agree on.
/// Sends nothing while upstreams suffice, nor in a mesh of one failure domain.
std::unique_ptr<RequestPart> MakeDomainFlows(const DomainFlowsConfig& config,
                                             DomainFlowsParts parts);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_FLOWS_DOMAIN_FLOWS_H_
