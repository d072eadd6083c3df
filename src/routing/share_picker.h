#ifndef HIBISCUSGLADE_ROUTING_SHARE_PICKER_H_
#define HIBISCUSGLADE_ROUTING_SHARE_PICKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Divides the requests of a route between services by weight, evenly over
/// any stretch: each service saves up its weight with every request, and the
/// one that has saved most takes it. Starts at a random place, so that many
/// entries with few requests each don't all begin with the same service.
/// Single-threaded.
class SharePicker {
 public:
  explicit SharePicker(uint64_t seed) : random_(seed) {}

  /// @return the service for the next request of a route.
  const std::string& ServiceOf(const RouteConfig& route);

 private:
  struct Saved {
    std::vector<RouteShare> shares;
    std::vector<int64_t> credits;
  };

  static size_t Next(Saved& saved);
  Saved Begin(const std::vector<RouteShare>& shares);

  Random random_;
  std::map<std::string, Saved> routes_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_SHARE_PICKER_H_
