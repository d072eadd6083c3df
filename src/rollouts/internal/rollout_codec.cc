#include "rollouts/rollout_codec.h"

#include "wire/peer.pb.h"

namespace hibiscusglade {

void ToWire(const Rollout& rollout, wire::RolloutState& out) {
  out.set_service(rollout.service);
  out.set_target_version(rollout.target_version);
  out.set_state(static_cast<uint32_t>(rollout.stage));
  out.set_share_permille(rollout.share_permille);
  out.set_order(rollout.order);
  out.set_step(rollout.step);
  out.set_ordered_at_ms(rollout.ordered_at_ms);
  out.set_duration_s(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(rollout.duration)
          .count()));
  out.set_reason(rollout.reason);
  out.set_closes_others(rollout.closes_others);
  for (const std::string& version : rollout.replaced_versions) {
    out.add_replaced_versions(version);
  }
}

Rollout FromWire(const wire::RolloutState& in) {
  Rollout rollout;
  rollout.service = in.service();
  rollout.target_version = in.target_version();
  rollout.stage = static_cast<RolloutStage>(in.state());
  rollout.share_permille = in.share_permille();
  rollout.order = in.order();
  rollout.step = in.step();
  rollout.ordered_at_ms = in.ordered_at_ms();
  rollout.duration = std::chrono::seconds(in.duration_s());
  rollout.reason = in.reason();
  rollout.closes_others = in.closes_others();
  rollout.replaced_versions.assign(in.replaced_versions().begin(),
                                   in.replaced_versions().end());
  return rollout;
}

void ToWire(const RolloutsAt& rollouts, wire::RolloutStates& out) {
  out.set_revision(rollouts.revision);
  for (const auto& [service, rollout] : rollouts.rollouts) {
    ToWire(rollout, *out.add_states());
  }
}

RolloutsAt FromWire(const wire::RolloutStates& in) {
  RolloutsAt rollouts;
  rollouts.revision = in.revision();
  for (const wire::RolloutState& state : in.states()) {
    rollouts.rollouts[state.service()] = FromWire(state);
  }
  return rollouts;
}

}  // namespace hibiscusglade
