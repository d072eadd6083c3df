#ifndef HIBISCUSGLADE_CLAIMS_CLAIM_LEDGER_H_
#define HIBISCUSGLADE_CLAIMS_CLAIM_LEDGER_H_

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "claims/ledger_time.h"
#include "claims/types/claim_types.h"
#include "consensus/replicated_state.h"

namespace hibiscusglade {

/// Replicated state of the claims group: the claims on requests that may not be
/// repeated. Commands are encoded ClaimCommands, results encoded ClaimOutcomes.
/// Every command may be applied twice or late, so revoking an attempt also
/// blocks a claim of the same attempt that is applied afterwards.
class ClaimLedger : public ReplicatedState {
 public:
  /// @param max_bytes memory limit; no claim that would exceed it is granted.
  explicit ClaimLedger(size_t max_bytes = kDefaultMaxBytes)
      : max_bytes_(max_bytes) {}

  std::string Apply(std::string_view command) override;
  std::string Read(std::string_view query) const override;
  std::string Snapshot() const override;
  bool Restore(std::string_view snapshot) override;

  /// @return the number of claims.
  size_t Size() const { return claims_.size(); }

  /// @return the estimated memory of claims and revoked attempts, in bytes.
  size_t Bytes() const { return bytes_; }

 private:
  static constexpr size_t kDefaultMaxBytes = size_t{256} * 1024 * 1024;

  struct Claim {
    ClaimCommand command;  ///< As granted; includes the answer once done.
    bool done = false;
  };
  /// Service and idempotency key.
  using Key = std::pair<std::string, std::string>;

  /// Identifies a revoked attempt or, with an empty attempt, the claim of a
  /// key.
  struct RowId {
    Key key;
    std::string attempt;

    friend auto operator<=>(const RowId&, const RowId&) = default;
  };

  ClaimOutcome Decide(const ClaimCommand& command);
  ClaimOutcome Grant(const ClaimCommand& command);
  ClaimOutcome Finish(const ClaimCommand& command);
  ClaimOutcome Revoke(const ClaimCommand& command);
  static ClaimOutcome OutcomeForClaimed(const Claim& claim,
                                        const ClaimCommand& command);
  Claim* FindClaimOfAttempt(const ClaimCommand& command);

  void AddClaim(const ClaimCommand& command, bool done);
  void RemoveClaim(const Key& key);
  void AddRevoked(const RowId& id, int64_t expires_at);
  void RemoveExpired();

  size_t max_bytes_;
  size_t bytes_ = 0;
  LedgerTime time_;
  std::map<Key, Claim> claims_;
  std::map<RowId, int64_t> revoked_;  ///< With the time of expiry.
  std::set<std::pair<int64_t, RowId>> expiries_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_CLAIM_LEDGER_H_
