#ifndef HIBISCUSGLADE_CLAIMS_CLAIM_STORE_H_
#define HIBISCUSGLADE_CLAIMS_CLAIM_STORE_H_

#include <functional>

#include "claims/types/claim_types.h"

namespace hibiscusglade {

/// An owner's way to the ledger, wherever its leader is.
class ClaimStore {
 public:
  using Done = std::function<void(const ClaimOutcome&)>;

  virtual ~ClaimStore() = default;

  /// Submits a command.
  /// @param done called once on the caller's own thread. With
  /// ClaimsCode::kLedgerUnavailable the command has not been and will not be
  /// applied; with kLedgerSilent it may have been.
  virtual void Submit(const ClaimCommand& command, Done done) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_CLAIM_STORE_H_
