#ifndef HIBISCUSGLADE_CLAIMS_CLAIM_STORE_H_
#define HIBISCUSGLADE_CLAIMS_CLAIM_STORE_H_

#include <functional>

#include "claims/types/claim_types.h"

namespace hibiscusglade {

/// Submits an owner's commands to the claim ledger, whichever daemon leads its
/// group.
class ClaimStore {
 public:
  using Done = std::function<void(const ClaimOutcome&)>;

  virtual ~ClaimStore() = default;

  /// Submits a command.
  /// @param done called once, on the thread that called Submit(). With
  /// ClaimsCode::kLedgerUnavailable the command has not been and will not be
  /// applied; with kLedgerUnresponsive it may have been.
  virtual void Submit(const ClaimCommand& command, Done done) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_CLAIM_STORE_H_
