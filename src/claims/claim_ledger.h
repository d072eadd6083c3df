#ifndef HIBISCUSGLADE_CLAIMS_CLAIM_LEDGER_H_
#define HIBISCUSGLADE_CLAIMS_CLAIM_LEDGER_H_

#include <map>
#include <string>
#include <utility>

#include "claims/types/claim_types.h"
#include "consensus/replicated_state.h"

namespace hibiscusglade {

/// Requests that may not be repeated, as driven by the replicated log.
/// Commands are encoded ClaimCommands, results encoded ClaimOutcomes.
class ClaimLedger : public ReplicatedState {
 public:
  std::string Apply(std::string_view command) override;
  std::string Read(std::string_view query) const override;
  std::string Snapshot() const override;
  bool Restore(std::string_view snapshot) override;

  /// @return how many claims are held.
  size_t Size() const { return claims_.size(); }

 private:
  struct Claim {
    ClaimCommand command;  ///< As granted; with the answer once finished.
    bool done = false;
  };
  using Key = std::pair<std::string, std::string>;

  ClaimOutcome Decide(const ClaimCommand& command);
  ClaimOutcome Grant(const ClaimCommand& command);
  static ClaimOutcome Meet(const Claim& held, const ClaimCommand& command);

  std::map<Key, Claim> claims_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_CLAIM_LEDGER_H_
