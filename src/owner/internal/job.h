#ifndef HIBISCUSGLADE_OWNER_INTERNAL_JOB_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_JOB_H_

#include <cstdint>
#include <string>
#include <system_error>

#include "base/clock.h"
#include "base/digest.h"
#include "calls/call_links.h"
#include "calls/types/call_types.h"

namespace hibiscusglade {

enum class JobStage {
  kReceiving,       ///< Its body is on the way.
  kClaiming,        ///< Waits for the ledger to grant the claim.
  kQueued,          ///< Waits for a slot.
  kAdmitted,        ///< Has a slot; SlotGate decides when it starts.
  kRunning,         ///< The upstream is executing it.
  kConnectionLost,  ///< Waits for the check whether the upstream died.
  kRevoking,        ///< Will not run; waits for the claim to be revoked.
  kFinishing,       ///< Has run; waits for the ledger to store the result.
};

/// One attempt that an owner is handling.
struct Job {
  EntryRef entry;
  CallAttempt attempt;
  Instant deadline;
  Instant objective;  ///< When the latency objective ends; zero: none.
  JobStage stage = JobStage::kQueued;
  Digest fingerprint = 0;
  Instant accepted_at;
  Instant entry_seen_at;  ///< When the entry last sent something about it.
  /// Why the attempt must not run; set while its claim is pending.
  std::error_code pending_refusal;
  Instant run_started;
  size_t run_body_bytes = 0;  ///< Of the request's body, which its run has.
  int64_t upstream_started_at_ms = 0;  ///< Of the upstream that it runs at.
  std::string connection_error;        ///< Why the connection was lost.
  uint64_t chunks = 0;
  uint64_t bytes = 0;
  Digest digest = 0;
  AnswerHead head;
  bool streaming = false;      ///< The head was sent; data follows as it comes.
  std::string body;            ///< Answer body received while not streaming.
  std::string encoded_answer;  ///< Sent once the ledger has stored it.
  Instant answer_completed;    ///< When the upstream's answer was complete.

  /// @return whether the answer is sent only once it is complete. Short answers
  /// are, so that the request can be retried elsewhere if the answer breaks
  /// off.
  bool HasShortAnswer() const;

  /// @return whether the body received so far must be streamed: too much to
  /// buffer or, with a claim, to keep in the ledger.
  bool HasTooMuchToHold() const;
};

/// @return a job that begins now. It has a fingerprint unless its body is
/// offered.
Job MakeJob(const EntryRef& entry, CallAttempt attempt, Instant now);

/// @return the attempt, for its run. The job keeps it without the body, so that
/// no large body is held twice.
CallAttempt TakeAttemptToRun(Job& job);

/// @return a digest of method, target, body and idempotency key, by which
/// repetitions of a request are recognised.
Digest FingerprintOf(const CallRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_JOB_H_
