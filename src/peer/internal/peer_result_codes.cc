#include "peer/peer_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {9001, "listen-failed", "the peers' address can't be listened on", 500,
     Certainty::kNotApplicable, "Check the address and that it is free."},
    {9002, "backlog", "a peer takes messages too slowly", 503,
     Certainty::kUnknown, "Check the load of that peer and the network to it."},
    {9003, "wrong-mesh", "a peer belongs to another mesh", 400,
     Certainty::kNotRun, "Check mesh and addresses in both settings."},
    {9004, "wrong-wire-version", "a peer speaks another wire version", 400,
     Certainty::kNotRun, "Run the same release on both daemons."},
    {9005, "damaged-message", "a peer's message can't be read", 400,
     Certainty::kUnknown, "Check what connects to the peers' port."},
};

}  // namespace

const ResultCodeCategory& PeerCategory() {
  static const ResultCodeCategory category("peer", kCodes);
  return category;
}

std::error_code make_error_code(PeerCode code) {
  return {static_cast<int>(code), PeerCategory()};
}

}  // namespace hibiscusglade
