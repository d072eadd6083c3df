#ifndef HIBISCUSGLADE_FLOWS_TYPES_SERVICE_ROOM_H_
#define HIBISCUSGLADE_FLOWS_TYPES_SERVICE_ROOM_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace hibiscusglade {

/// Demand and capacity of one service in one failure domain.
struct ServiceRoom {
  double demand = 0;    ///< Requests/s of its entries, wherever they are sent.
  double capacity = 0;  ///< Requests/s that its upstreams can complete.
  double bytes_per_request = 0;  ///< Of a request's body and its answer.
  Instant known_at;              ///< When the figures were measured.
  /// Round trip from the planning failure domain; zero while unknown.
  Duration round_trip{};

  friend bool operator==(const ServiceRoom&, const ServiceRoom&) = default;
};

/// The room of one service by failure domain.
using RoomByDomain = std::map<std::string, ServiceRoom>;

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_FLOWS_TYPES_SERVICE_ROOM_H_
