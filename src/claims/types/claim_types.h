#ifndef HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_
#define HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

#include "platform/digest.h"

namespace hibiscusglade {

enum class ClaimKind : uint8_t {
  kClaim = 1,   ///< Take the right to run a request once.
  kFinish = 2,  ///< It ran; keep its answer.
  kBurn = 3,    ///< The attempt will never run; another may claim.
};

/// A command for the ledger of requests that may not be repeated.
struct ClaimCommand {
  ClaimKind kind = ClaimKind::kClaim;
  std::string service;
  std::string key;  ///< The caller's idempotency key.
  Digest request_digest = 0;
  std::string attempt;
  std::string owner;       ///< Instance that runs the attempt.
  std::string answer;      ///< Encoded answer, with kFinish.
  int64_t expires_at = 0;  ///< Calendar time in microseconds.

  friend bool operator==(const ClaimCommand&, const ClaimCommand&) = default;
};

/// The ledger's word on a command.
struct ClaimOutcome {
  std::error_code error;    ///< No error: granted, kept or burnt.
  std::string kept_answer;  ///< With ClaimsCode::kAlreadyDone.

  friend bool operator==(const ClaimOutcome&, const ClaimOutcome&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_
