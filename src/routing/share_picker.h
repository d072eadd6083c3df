#ifndef HIBISCUSGLADE_ROUTING_SHARE_PICKER_H_
#define HIBISCUSGLADE_ROUTING_SHARE_PICKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Distributes the requests of a route over services by smooth weighted round
/// robin, so that every stretch of requests matches the weights: with each
/// request every service gains its weight as credit, and the one with the most
/// credit is picked and pays the sum of the weights. Starts at a random
/// position in the round, so that many entries with few requests each don't all
/// start with the same service. Single-threaded.
class SharePicker {
 public:
  explicit SharePicker(uint64_t seed) : random_(seed) {}

  /// @return the service for the next request of a route.
  const std::string& PickService(const RouteConfig& route);

 private:
  /// Progress within the current round of one route.
  struct RoundState {
    std::vector<RouteShare> shares;
    std::vector<int64_t> credits;
  };

  static size_t PickNext(RoundState& round);
  RoundState StartAtRandomPosition(const std::vector<RouteShare>& shares);

  Random random_;
  std::map<std::string, RoundState> rounds_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_SHARE_PICKER_H_
