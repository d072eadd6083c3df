#ifndef HIBISCUSGLADE_ROUTING_ROUTE_TABLE_HOLDER_H_
#define HIBISCUSGLADE_ROUTING_ROUTE_TABLE_HOLDER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/clock.h"
#include "routing/types/route_table.h"

namespace hibiscusglade {

/// Publishes the current route table to request threads by read-copy-update
/// (RCU). A request holds a counted reference and uses the same table until it
/// ends, also when another one is published meanwhile.
class RouteTableHolder {
 public:
  RouteTableHolder();
  ~RouteTableHolder();
  RouteTableHolder(const RouteTableHolder&) = delete;
  RouteTableHolder& operator=(const RouteTableHolder&) = delete;

  /// Thread-safe; takes no lock.
  /// @return the current table; nullptr before the first Publish().
  RouteTablePtr Current() const;

  /// Replaces the table. Not to be called concurrently with itself.
  void Publish(RouteTablePtr table);

  /// Sets when the version in use was last confirmed as the latest one.
  void SetConfirmedAt(Instant confirmed_at);

  /// Thread-safe.
  /// @return the time since the version in use was last confirmed as the latest
  /// one; absent while it never was.
  std::optional<Duration> ConfirmationAge(Instant now) const;

 private:
  struct PublishedTable;
  PublishedTable* published_ = nullptr;
  std::atomic<int64_t> confirmed_at_micros_{0};  ///< 0: never.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_ROUTE_TABLE_HOLDER_H_
