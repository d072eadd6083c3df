#ifndef HIBISCUSGLADE_PEER_INTERNAL_WIRE_VERSION_H_
#define HIBISCUSGLADE_PEER_INTERNAL_WIRE_VERSION_H_

#include <cstdint>

namespace hibiscusglade {

/// Version of peer.proto; raised with every change that an older daemon would
/// misread. Version 2: configuration versions are pulled as numbered steps.
inline constexpr uint32_t kWireVersion = 2;

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_PEER_INTERNAL_WIRE_VERSION_H_
