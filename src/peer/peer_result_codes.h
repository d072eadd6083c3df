#ifndef HIBISCUSGLADE_PEER_PEER_RESULT_CODES_H_
#define HIBISCUSGLADE_PEER_PEER_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 9000 to 9499.
enum class PeerCode {
  kListenFailed = 9001,
  kBacklog = 9002,
  kWrongMesh = 9003,
  kWrongWireVersion = 9004,
  kDamagedMessage = 9005,
};

const ResultCodeCategory& PeerCategory();
std::error_code make_error_code(PeerCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::PeerCode> : std::true_type {};

#endif  // HIBISCUSGLADE_PEER_PEER_RESULT_CODES_H_
