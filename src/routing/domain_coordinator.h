#ifndef HIBISCUSGLADE_ROUTING_DOMAIN_COORDINATOR_H_
#define HIBISCUSGLADE_ROUTING_DOMAIN_COORDINATOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusglade {

/// A daemon that may coordinate others of its failure domain.
struct DomainDaemon {
  std::string instance;
  std::string failure_domain;
  std::string request_address;
  uint64_t incarnation = 0;  ///< See InstanceRecord; about its start time.
  std::string service;       ///< Of its upstream; empty while none is known.

  friend bool operator==(const DomainDaemon&, const DomainDaemon&) = default;
};

/// Chooses the coordinator of a matter in a failure domain by rendezvous
/// hashing: daemons that know the same daemons choose the same one, and one
/// that comes or goes changes the choice for few matters. One that started long
/// after the others is chosen only when all of these are gone: it knows little
/// at first, and each change of the coordinator costs those that depend on it.
/// @param daemons of one failure domain.
/// @param matter such as "limits".
/// @return nullptr when there is no daemon.
const DomainDaemon* ChooseCoordinator(const std::vector<DomainDaemon>& daemons,
                                      std::string_view matter);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_DOMAIN_COORDINATOR_H_
