#ifndef HIBISCUSGLADE_OWNER_INTERNAL_CLAIM_WRITER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_CLAIM_WRITER_H_

#include <string>

#include "base/clock.h"
#include "claims/claim_store.h"
#include "owner/internal/job.h"

namespace hibiscusglade {

/// Writes claims, burns and finishes of jobs into the ledger. A burn or a
/// finish whose outcome is not known is sent again in the background, so that
/// its key does not stay blocked until it expires.
class ClaimWriter {
 public:
  ClaimWriter(std::string instance, ClaimStore& store, const Clock& clock);

  void Claim(const Job& job, const ClaimStore::Done& done);

  /// @param done told the outcome of the first try.
  void Burn(const Job& job, const ClaimStore::Done& done);

  /// @param answer an encoded KeptAnswer; empty when it is not to be kept.
  /// @param done told the outcome of the first try.
  void Finish(const Job& job, std::string answer, const ClaimStore::Done& done);

  /// @return how many commands have no outcome yet.
  size_t Unsettled() const { return unsettled_; }

 private:
  ClaimCommand CommandOf(const Job& job, ClaimKind kind) const;
  void Send(const ClaimCommand& command, int tries_left,
            const ClaimStore::Done& done);

  std::string instance_;
  ClaimStore& store_;
  const Clock& clock_;
  size_t unsettled_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_CLAIM_WRITER_H_
