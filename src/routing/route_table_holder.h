#ifndef HIBISCUSGLADE_ROUTING_ROUTE_TABLE_HOLDER_H_
#define HIBISCUSGLADE_ROUTING_ROUTE_TABLE_HOLDER_H_

#include <memory>

#include "routing/types/route_table.h"

namespace hibiscusglade {

/// Publishes the current route table to request threads by read-copy-update.
/// A request takes a counted reference and keeps the table it began with.
class RouteTableHolder {
 public:
  RouteTableHolder();
  ~RouteTableHolder();
  RouteTableHolder(const RouteTableHolder&) = delete;
  RouteTableHolder& operator=(const RouteTableHolder&) = delete;

  /// @return the current table; nullptr before the first Publish(). Any
  /// thread may call it; it takes no lock.
  RouteTablePtr Current() const;

  /// Replaces the table. One thread at a time.
  void Publish(RouteTablePtr table);

 private:
  struct Slot;
  Slot* slot_ = nullptr;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_ROUTE_TABLE_HOLDER_H_
