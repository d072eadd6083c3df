#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_CODEC_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_CODEC_H_

#include <optional>

#include "distribution/types/distribution_types.h"
#include "membership/membership.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

void ToWire(const DistributionMessage& message, wire::Envelope& out);
void ToWire(const MembershipMessage& message, wire::Envelope& out);

/// @return nullopt when the envelope's message is of another kind. Gossip comes
/// without the records whose addresses can't be read.
std::optional<DistributionMessage> DistributionFromWire(
    const wire::Envelope& in);
std::optional<MembershipMessage> MembershipFromWire(const wire::Envelope& in);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_CODEC_H_
