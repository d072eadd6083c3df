#ifndef HIBISCUSGLADE_FLOWS_INTERNAL_ROOM_CODEC_H_
#define HIBISCUSGLADE_FLOWS_INTERNAL_ROOM_CODEC_H_

#include "base/clock.h"
#include "flows/internal/room_gatherer.h"
#include "routing/types/flow_plan.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

void ToWire(const MemberRoom& room, wire::RoomReport::Service& out);
MemberRoom MemberRoomFromWire(const wire::RoomReport::Service& in, Instant now);

void ToWire(const ServiceRoom& room, wire::RoomReport::Service& out);
/// The round trip stays unknown.
DomainRoom DomainRoomFromWire(const wire::RoomReport::Service& in, Instant now);

void ToWire(const FlowPlan& plan, wire::RoomPlan::Service& out);
/// @return the plan, with shares that are impossible left out, and none at all
/// if they add up to more than the whole.
FlowPlan FlowPlanFromWire(const wire::RoomPlan::Service& in);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_FLOWS_INTERNAL_ROOM_CODEC_H_
