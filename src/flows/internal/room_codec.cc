#include "flows/internal/room_codec.h"

namespace hibiscusglade {
namespace {

constexpr double kMaxOutside = 1.001;  ///< The whole, rounded.

}  // namespace

void ToWire(const MemberRoom& room, wire::RoomReport::Service& out) {
  out.set_demand(static_cast<float>(room.demand));
  out.set_capacity(static_cast<float>(room.capacity));
  out.set_slots(room.slots);
  out.set_unmeasured_slots(room.unmeasured_slots);
  out.set_link_bytes(static_cast<float>(room.link_bytes));
  out.set_bytes_per_request(static_cast<float>(room.bytes_per_request));
  out.set_pressed(room.pressed);
}

MemberRoom MemberRoomFromWire(const wire::RoomReport::Service& in,
                              Instant now) {
  return {in.demand(),     in.capacity(),
          in.slots(),      in.unmeasured_slots(),
          in.link_bytes(), in.bytes_per_request(),
          in.pressed(),    now};
}

void ToWire(const ServiceRoom& room, wire::RoomReport::Service& out) {
  out.set_demand(static_cast<float>(room.demand));
  out.set_capacity(static_cast<float>(room.capacity));
  out.set_bytes_per_request(static_cast<float>(room.bytes_per_request));
}

DomainRoom DomainRoomFromWire(const wire::RoomReport::Service& in,
                              Instant now) {
  return {{in.demand(), in.capacity(), in.bytes_per_request(), now, {}},
          in.pressed(),
          in.sent_at_micros()};
}

void ToWire(const FlowPlan& plan, wire::RoomPlan::Service& out) {
  out.set_planned(true);
  for (const auto& [domain, flow] : plan.flows) {
    wire::RoomPlan::Flow& to = *out.add_flows();
    to.set_to_domain(domain);
    to.set_share(static_cast<float>(flow.share));
    to.set_has_room(flow.has_room);
  }
}

FlowPlan FlowPlanFromWire(const wire::RoomPlan::Service& in) {
  FlowPlan plan;
  for (const wire::RoomPlan::Flow& flow : in.flows()) {
    if (!(flow.share() >= 0 && flow.share() <= 1)) continue;
    plan.flows[flow.to_domain()] = {flow.share(), flow.has_room()};
  }
  return plan.Outside() <= kMaxOutside ? plan : FlowPlan{};
}

}  // namespace hibiscusglade
