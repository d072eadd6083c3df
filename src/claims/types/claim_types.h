#ifndef HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_
#define HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

#include "base/digest.h"

namespace hibiscusglade {

/// How long a key is remembered, from the last command of its attempt.
inline constexpr int64_t kClaimLifetimeMicros = 3600LL * 1000 * 1000;

/// Largest encoded answer that is kept for a resend.
inline constexpr size_t kMaxKeptAnswerBytes = size_t{64} * 1024;

enum class ClaimKind : uint8_t {
  kClaim = 1,   ///< Take the right to run a request once.
  kFinish = 2,  ///< It ran; keep its answer.
  kBurn = 3,    ///< The attempt will never run, nor be granted later.
};

/// A command for the ledger of requests that may not be repeated.
struct ClaimCommand {
  ClaimKind kind = ClaimKind::kClaim;
  std::string service;
  std::string key;  ///< The caller's idempotency key.
  Digest request_digest = 0;
  std::string attempt;
  std::string owner;   ///< Instance that runs the attempt.
  std::string answer;  ///< Encoded, with kFinish; empty when not kept.
  /// Calendar time in microseconds: the owner's own plus the lifetime. The
  /// ledger has no other source of time.
  int64_t expires_at = 0;

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
