#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_SETTINGS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_SETTINGS_H_

#include <string>
#include <vector>

#include "consensus/types/consensus_types.h"
#include "control/control_loop.h"
#include "distribution/version_follower.h"
#include "membership/membership.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// @return whether this instance is a replica.
bool IsReplica(const ControlConfig& config);

std::vector<std::string> AddressesOf(const std::vector<Member>& members);

/// @return control addresses of the seeds and of the replicas named in the
/// settings, each once.
std::vector<std::string> SeedAddresses(const ControlConfig& config);

MembershipConfig MembershipSettings(const ControlConfig& config);
FollowerConfig FollowerSettings(const ControlConfig& config);

/// @return this instance as a member of a group, without an identity.
Member OwnMember(const ControlConfig& config);

/// @return the known replicas: those that the membership lists as alive or
/// suspected, plus those named in the settings, which are needed at the start.
std::vector<Member> KnownReplicas(const ControlConfig& config,
                                  const std::vector<InstanceRecord>& records);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_SETTINGS_H_
