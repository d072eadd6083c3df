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

/// Requests that may not be repeated, as driven by the replicated log.
/// Commands are encoded ClaimCommands, results encoded ClaimOutcomes. All
/// commands may arrive twice and late: a burn also stops a claim of the same
/// attempt that is applied after it.
class ClaimLedger : public ReplicatedState {
 public:
  /// @param max_bytes memory for claims; beyond it none is granted.
  explicit ClaimLedger(size_t max_bytes = kDefaultMaxBytes)
      : max_bytes_(max_bytes) {}

  std::string Apply(std::string_view command) override;
  std::string Read(std::string_view query) const override;
  std::string Snapshot() const override;
  bool Restore(std::string_view snapshot) override;

  /// @return how many claims are held.
  size_t Size() const { return claims_.size(); }

  /// @return memory that claims and burnt attempts take, in bytes, estimated.
  size_t Bytes() const { return bytes_; }

 private:
  static constexpr size_t kDefaultMaxBytes = size_t{256} * 1024 * 1024;

  struct Claim {
    ClaimCommand command;  ///< As granted; with the answer once finished.
    bool done = false;
  };
  using Key = std::pair<std::string, std::string>;

  /// A burnt attempt; with an empty attempt, the claim of a key.
  struct Name {
    Key key;
    std::string attempt;

    friend auto operator<=>(const Name&, const Name&) = default;
  };

  ClaimOutcome Decide(const ClaimCommand& command);
  ClaimOutcome Grant(const ClaimCommand& command);
  ClaimOutcome Finish(const ClaimCommand& command);
  ClaimOutcome Burn(const ClaimCommand& command);
  static ClaimOutcome Meet(const Claim& held, const ClaimCommand& command);
  Claim* HeldBy(const ClaimCommand& command);

  void Hold(const ClaimCommand& command, bool done);
  void Drop(const Key& key);
  void HoldBurnt(const Name& name, int64_t expires_at);
  void Expire();

  size_t max_bytes_;
  size_t bytes_ = 0;
  LedgerTime time_;
  std::map<Key, Claim> claims_;
  std::map<Name, int64_t> burnt_;  ///< With the time of expiry.
  std::set<std::pair<int64_t, Name>> expiries_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_CLAIM_LEDGER_H_
