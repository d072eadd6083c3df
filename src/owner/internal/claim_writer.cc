#include "owner/internal/claim_writer.h"

#include <string>
#include <utility>

#include "claims/claims_result_codes.h"

namespace hibiscusglade {
namespace {

/// How often one revocation or result is sent to the ledger at most. The store
/// waits over a second for each answer.
constexpr int kMaxSends = 20;

bool NeedsRetry(const ClaimOutcome& outcome) {
  return outcome.error == ClaimsCode::kLedgerUnresponsive ||
         outcome.error == ClaimsCode::kLedgerUnavailable;
}

/// @return a key that requests of other customers can't have: a field's value
/// has no line break.
std::string ClaimKeyOf(const CallRequest& request) {
  if (request.customer.empty()) return request.idempotency_key;
  return request.customer + "\n" + request.idempotency_key;
}

}  // namespace

ClaimWriter::ClaimWriter(std::string instance, ClaimStore& store,
                         const Clock& clock)
    : instance_(std::move(instance)), store_(store), clock_(clock) {}

void ClaimWriter::Claim(const Job& job, const ClaimStore::Done& done) {
  Send(CommandOf(job, ClaimKind::kClaim), 1, done);
}

void ClaimWriter::Revoke(const Job& job, const ClaimStore::Done& done) {
  Send(CommandOf(job, ClaimKind::kRevoke), kMaxSends, done);
}

void ClaimWriter::Finish(const Job& job, std::string answer,
                         const ClaimStore::Done& done) {
  ClaimCommand command = CommandOf(job, ClaimKind::kFinish);
  command.answer = std::move(answer);
  Send(command, kMaxSends, done);
}

ClaimCommand ClaimWriter::CommandOf(const Job& job, ClaimKind kind) const {
  ClaimCommand command;
  command.kind = kind;
  command.service = job.attempt.service;
  command.key = ClaimKeyOf(job.attempt.request);
  command.request_digest = job.fingerprint;
  command.attempt = job.attempt.id;
  command.owner = instance_;
  command.expires_at = clock_.UnixMicros() + kClaimLifetimeMicros;
  return command;
}

void ClaimWriter::Send(const ClaimCommand& command, int sends_left,
                       const ClaimStore::Done& done) {
  ++pending_commands_;
  store_.Submit(command,
                [this, command, sends_left, done](const ClaimOutcome& outcome) {
                  --pending_commands_;
                  if (done) done(outcome);
                  if (NeedsRetry(outcome) && sends_left > 1) {
                    Send(command, sends_left - 1, {});
                  }
                });
}

}  // namespace hibiscusglade
