#include "control/internal/control_settings.h"

#include <algorithm>

namespace hibiscusglade {

bool IsReplica(const ControlConfig& config) {
  return !config.data_folder.empty();
}

std::vector<std::string> AddressesOf(const std::vector<Member>& members) {
  std::vector<std::string> addresses;
  for (const Member& member : members) addresses.push_back(member.address);
  return addresses;
}

std::vector<std::string> SeedAddresses(const ControlConfig& config) {
  std::vector<std::string> seeds = config.seeds;
  for (const std::string& address : AddressesOf(config.replicas)) {
    if (std::find(seeds.begin(), seeds.end(), address) == seeds.end()) {
      seeds.push_back(address);
    }
  }
  return seeds;
}

MembershipConfig MembershipSettings(const ControlConfig& config) {
  MembershipConfig settings;
  InstanceRecord& self = settings.self;
  self.instance = config.identity.instance;
  self.region = config.region;
  self.failure_domain = config.identity.failure_domain;
  self.incarnation = config.identity.incarnation;
  self.control_address = config.control_address;
  self.request_address = config.request_address;
  self.replica = IsReplica(config);
  settings.seeds = SeedAddresses(config);
  settings.expected_service = config.local_service;
  settings.expected_address = config.local_upstream;
  return settings;
}

FollowerConfig FollowerSettings(const ControlConfig& config) {
  FollowerConfig follower;
  follower.instance = config.identity.instance;
  follower.failure_domain = config.identity.failure_domain;
  follower.replica = IsReplica(config);
  return follower;
}

Member OwnMember(const ControlConfig& config) {
  return {{config.identity.instance, 0},
          false,
          config.control_address,
          config.identity.failure_domain};
}

std::vector<Member> KnownReplicas(const ControlConfig& config,
                                  const std::vector<InstanceRecord>& records) {
  std::vector<Member> known;
  for (const InstanceRecord& record : records) {
    if (!record.replica || record.state > InstanceState::kSuspected) continue;
    known.push_back({{record.instance, 0},
                     true,
                     record.control_address,
                     record.failure_domain});
  }
  for (const Member& configured : config.replicas) {
    const bool is_known = std::any_of(
        known.begin(), known.end(),
        [&](const Member& m) { return m.address == configured.address; });
    if (!is_known) known.push_back(configured);
  }
  return known;
}

}  // namespace hibiscusglade
