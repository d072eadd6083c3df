#include "routing/route_table_holder.h"

#include <urcu/urcu-bp.h>

#include <utility>

namespace hibiscusglade {

struct RouteTableHolder::Slot {
  RouteTablePtr table;
};

RouteTableHolder::RouteTableHolder() = default;

RouteTableHolder::~RouteTableHolder() { delete slot_; }

RouteTablePtr RouteTableHolder::Current() const {
  rcu_read_lock_bp();
  const Slot* slot = rcu_dereference(slot_);
  RouteTablePtr table = slot == nullptr ? nullptr : slot->table;
  rcu_read_unlock_bp();
  return table;
}

void RouteTableHolder::Publish(RouteTablePtr table) {
  Slot* before = slot_;
  auto next = std::make_unique<Slot>(Slot{std::move(table)});
  rcu_assign_pointer(slot_, next.release());
  synchronize_rcu_bp();
  delete before;
}

}  // namespace hibiscusglade
