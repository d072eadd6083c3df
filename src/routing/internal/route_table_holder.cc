#include "routing/route_table_holder.h"

#include <urcu/urcu-bp.h>

#include <utility>

namespace hibiscusglade {

struct RouteTableHolder::PublishedTable {
  RouteTablePtr table;
};

RouteTableHolder::RouteTableHolder() = default;

RouteTableHolder::~RouteTableHolder() { delete published_; }

RouteTablePtr RouteTableHolder::Current() const {
  rcu_read_lock_bp();
  const PublishedTable* published = rcu_dereference(published_);
  RouteTablePtr table = published == nullptr ? nullptr : published->table;
  rcu_read_unlock_bp();
  return table;
}

void RouteTableHolder::Publish(RouteTablePtr table) {
  PublishedTable* previous = published_;
  auto next =
      std::make_unique<PublishedTable>(PublishedTable{std::move(table)});
  rcu_assign_pointer(published_, next.release());
  synchronize_rcu_bp();
  delete previous;
}

void RouteTableHolder::SetConfirmedAt(Instant confirmed_at) {
  confirmed_at_micros_.store(confirmed_at.time_since_epoch().count(),
                             std::memory_order_relaxed);
}

std::optional<Duration> RouteTableHolder::ConfirmationAge(Instant now) const {
  const int64_t micros = confirmed_at_micros_.load(std::memory_order_relaxed);
  if (micros == 0) return std::nullopt;
  return now - Instant(Duration(micros));
}

}  // namespace hibiscusglade
