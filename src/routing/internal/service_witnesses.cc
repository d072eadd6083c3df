#include "routing/service_witnesses.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/digest.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMinWitnesses = 4;

void SortByRendezvous(std::vector<DomainDaemon>& daemons,
                      const std::string& matter) {
  const Digest seed = DigestOf(matter);
  std::ranges::sort(daemons, {}, [seed](const DomainDaemon& daemon) {
    return DigestOf(daemon.instance, seed);
  });
}

}  // namespace

std::vector<DomainDaemon> WitnessesOf(const RouteTable& table,
                                      const std::string& service,
                                      const std::string& self) {
  std::vector<DomainDaemon> witnesses;
  std::vector<DomainDaemon> others;
  for (const std::string& domain : table.FailureDomains()) {
    for (const DomainDaemon& daemon : table.DaemonsOf(domain)) {
      if (daemon.instance == self) continue;
      (daemon.service == service ? witnesses : others).push_back(daemon);
    }
  }
  if (witnesses.size() >= kMinWitnesses) return witnesses;
  SortByRendezvous(others, service);
  const size_t more = std::min(others.size(), kMinWitnesses - witnesses.size());
  witnesses.insert(witnesses.end(), others.begin(),
                   others.begin() + static_cast<ptrdiff_t>(more));
  return witnesses;
}

std::vector<std::string> OrderToAsk(std::vector<DomainDaemon> witnesses,
                                    const std::string& asker) {
  SortByRendezvous(witnesses, asker);
  std::map<std::string, size_t> of_domain;
  std::vector<std::pair<size_t, std::string>> by_round;
  for (const DomainDaemon& daemon : witnesses) {
    by_round.emplace_back(of_domain[daemon.failure_domain]++,
                          daemon.request_address);
  }
  std::ranges::stable_sort(by_round, {},
                           &std::pair<size_t, std::string>::first);
  std::vector<std::string> addresses;
  for (auto& [round, address] : by_round) {
    addresses.push_back(std::move(address));
  }
  return addresses;
}

}  // namespace hibiscusglade
