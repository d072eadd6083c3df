#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_LEDGER_CLAIM_STORE_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_LEDGER_CLAIM_STORE_H_

#include <functional>
#include <string>
#include <utility>

#include "base/executor.h"
#include "claims/claim_store.h"
#include "consensus/replica.h"

namespace hibiscusglade {

/// Lets a thread other than the control thread submit claims to the replicated
/// group, and delivers the outcomes on that thread.
class LedgerClaimStore : public ClaimStore {
 public:
  /// Submits a command to the claims group; any thread may call it.
  using Submitter =
      std::function<void(std::string command, ReplicaCallback done)>;

  /// @param executor delivers the outcomes on its thread.
  LedgerClaimStore(Submitter submitter, Executor& executor)
      : submitter_(std::move(submitter)), executor_(executor) {}

  void Submit(const ClaimCommand& command, Done done) override;

 private:
  Submitter submitter_;
  Executor& executor_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_LEDGER_CLAIM_STORE_H_
