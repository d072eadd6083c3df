#include "routing/domain_coordinator.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace hibiscusglade {
namespace {

/// Daemons that started within this time of the oldest one are of its
/// generation.
constexpr uint64_t kGenerationMicros = 10'000'000;

}  // namespace

const DomainDaemon* ChooseCoordinator(const std::vector<DomainDaemon>& daemons,
                                      std::string_view matter) {
  const auto oldest =
      std::ranges::min_element(daemons, {}, &DomainDaemon::incarnation);
  if (oldest == daemons.end()) return nullptr;
  const Digest seed = DigestOf(matter);
  const auto rank = [&](const DomainDaemon& daemon) {
    const bool is_newcomer =
        daemon.incarnation - oldest->incarnation > kGenerationMicros;
    return std::pair(!is_newcomer, DigestOf(daemon.instance, seed));
  };
  return &*std::ranges::max_element(daemons, {}, rank);
}

}  // namespace hibiscusglade
