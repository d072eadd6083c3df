#ifndef HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_
#define HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

#include "base/digest.h"

namespace hibiscusglade {

/// How long a claim or a revocation is stored after its last command.
inline constexpr int64_t kClaimLifetimeMicros = 3600LL * 1000 * 1000;

/// Largest encoded answer that is stored for resends of its request.
inline constexpr size_t kMaxKeptAnswerBytes = size_t{64} * 1024;

enum class ClaimKind : uint8_t {
  kClaim = 1,   ///< Claim the right to run a request once.
  kFinish = 2,  ///< The request was run; store its answer.
  kRevoke = 3,  ///< Revoke an attempt: it is never run nor granted later.
};

/// A command for the claim ledger. A claim is the recorded right to run a
/// request that may not be repeated.
struct ClaimCommand {
  ClaimKind kind = ClaimKind::kClaim;
  std::string service;
  std::string key;  ///< The caller's idempotency key.
  Digest request_digest = 0;
  std::string attempt;
  std::string owner;   ///< Instance that runs the attempt.
  std::string answer;  ///< Of kFinish, encoded; empty when not to be stored.
  /// Calendar time of the owner plus kClaimLifetimeMicros, in microseconds. The
  /// ledger has no other source of time.
  int64_t expires_at = 0;

  friend bool operator==(const ClaimCommand&, const ClaimCommand&) = default;
};

/// The ledger's result for a command.
struct ClaimOutcome {
  std::error_code error;    ///< None when granted, finished or revoked.
  std::string kept_answer;  ///< Set with ClaimsCode::kAlreadyDone.

  friend bool operator==(const ClaimOutcome&, const ClaimOutcome&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_TYPES_CLAIM_TYPES_H_
