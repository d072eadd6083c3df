#include "routing/domain_coordinator.h"

#include <algorithm>

#include "base/digest.h"

namespace hibiscusglade {

const DomainDaemon* ChooseCoordinator(const std::vector<DomainDaemon>& daemons,
                                      std::string_view matter) {
  const Digest seed = DigestOf(matter);
  const auto best =
      std::ranges::max_element(daemons, {}, [seed](const DomainDaemon& daemon) {
        return DigestOf(daemon.instance, seed);
      });
  return best == daemons.end() ? nullptr : &*best;
}

}  // namespace hibiscusglade
