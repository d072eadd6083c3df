#ifndef HIBISCUSGLADE_ROUTING_SERVICE_WITNESSES_H_
#define HIBISCUSGLADE_ROUTING_SERVICE_WITNESSES_H_

#include <string>
#include <vector>

#include "routing/types/route_table.h"

namespace hibiscusglade {

/// Daemons that know what the owners of a service must not forget when they are
/// restarted: the owners themselves, whether or not their upstreams serve, and
/// where these are few, others chosen by rendezvous hashing. One daemon that
/// comes or goes changes few of them.
/// @param self instance that is left out.
/// @return at least four where there are as many.
std::vector<DomainDaemon> WitnessesOf(const RouteTable& table,
                                      const std::string& service,
                                      const std::string& self);

/// @return addresses of witnesses in an order that differs from one asker to
/// the next, and in which each failure domain comes once before any comes
/// again.
std::vector<std::string> OrderToAsk(std::vector<DomainDaemon> witnesses,
                                    const std::string& asker);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_SERVICE_WITNESSES_H_
