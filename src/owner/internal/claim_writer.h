#ifndef HIBISCUSGLADE_OWNER_INTERNAL_CLAIM_WRITER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_CLAIM_WRITER_H_

#include <string>

#include "base/clock.h"
#include "claims/claim_store.h"
#include "owner/internal/job.h"

namespace hibiscusglade {

/// Writes claims, revocations and results of jobs into the ledger. A revocation
/// or a result that the ledger did not confirm is sent again in the background,
/// so that the key does not stay blocked until the claim expires.
class ClaimWriter {
 public:
  ClaimWriter(std::string instance, ClaimStore& store, const Clock& clock);

  void Claim(const Job& job, const ClaimStore::Done& done);

  /// Revokes the claim, so that the attempt can no longer be granted one.
  /// @param done called with the outcome of the first sending.
  void Revoke(const Job& job, const ClaimStore::Done& done);

  /// Records that the request ran.
  /// @param answer an encoded KeptAnswer to store; empty to store none.
  /// @param done called with the outcome of the first sending.
  void Finish(const Job& job, std::string answer, const ClaimStore::Done& done);

  /// @return the number of commands that the store has not answered.
  size_t PendingCommands() const { return pending_commands_; }

 private:
  ClaimCommand CommandOf(const Job& job, ClaimKind kind) const;
  void Send(const ClaimCommand& command, int sends_left,
            const ClaimStore::Done& done);

  std::string instance_;
  ClaimStore& store_;
  const Clock& clock_;
  size_t pending_commands_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_CLAIM_WRITER_H_
