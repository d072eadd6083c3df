#ifndef HIBISCUSGLADE_PEER_INTERNAL_WIRE_VERSION_H_
#define HIBISCUSGLADE_PEER_INTERNAL_WIRE_VERSION_H_

#include <cstdint>

namespace hibiscusglade {

/// Raised with every change of peer.proto that an older daemon would misread.
/// 2: versions are pulled as numbered steps.
inline constexpr uint32_t kWireVersion = 2;

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_PEER_INTERNAL_WIRE_VERSION_H_
