#ifndef HIBISCUSGLADE_ROLLOUTS_ROLLOUT_CODEC_H_
#define HIBISCUSGLADE_ROLLOUTS_ROLLOUT_CODEC_H_

#include <cstdint>

#include "rollouts/types/rollout.h"

namespace hibiscusglade {

namespace wire {
class RolloutState;
class RolloutStates;
}  // namespace wire

/// The last rollouts as of one revision of the replicated log.
struct RolloutsAt {
  uint64_t revision = 0;  ///< Raised by each change of any rollout.
  RolloutMap rollouts;

  friend bool operator==(const RolloutsAt&, const RolloutsAt&) = default;
};

void ToWire(const Rollout& rollout, wire::RolloutState& out);
Rollout FromWire(const wire::RolloutState& in);

void ToWire(const RolloutsAt& rollouts, wire::RolloutStates& out);
RolloutsAt FromWire(const wire::RolloutStates& in);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROLLOUTS_ROLLOUT_CODEC_H_
