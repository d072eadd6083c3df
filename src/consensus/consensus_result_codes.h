#ifndef HIBISCUSGLADE_CONSENSUS_CONSENSUS_RESULT_CODES_H_
#define HIBISCUSGLADE_CONSENSUS_CONSENSUS_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 2500 to 2999.
enum class ConsensusCode {
  kNotLeader = 2501,
  kNoQuorum = 2502,
  kOutcomeUnknown = 2503,
  kFolderNotEmpty = 2504,
  kLogDamaged = 2505,
  kWrongInstance = 2506,
};

const ResultCodeCategory& ConsensusCategory();
std::error_code make_error_code(ConsensusCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::ConsensusCode> : std::true_type {
};

#endif  // HIBISCUSGLADE_CONSENSUS_CONSENSUS_RESULT_CODES_H_
