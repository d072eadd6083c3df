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
  kClaiming,   ///< Waits for the ledger's grant.
  kWaiting,    ///< Waits for a slot.
  kHeld,       ///< Has a slot, but may not run beside what runs.
  kRunning,    ///< In the upstream's hands.
  kLost,       ///< Connection lost; waits to know whether the upstream died.
  kBurning,    ///< Never ran; the ledger is being told.
  kFinishing,  ///< Ran; the ledger is being told.
};

/// One attempt in the owner's hands.
struct Job {
  EntryRef entry;
  CallAttempt attempt;
  Instant deadline;
  Instant objective;  ///< Until its answer is worth less; zero: not told.
  JobStage stage = JobStage::kWaiting;
  Digest fingerprint = 0;
  Instant entry_heard;      ///< The entry's last sign of life for this attempt.
  std::error_code give_up;  ///< Why it must not run, known while claiming.
  bool suspect = false;     ///< Runs alone.
  Instant run_began;
  std::string failure;  ///< Why the connection was lost.
  uint64_t chunks = 0;
  uint64_t bytes = 0;
  Digest digest = 0;
  AnswerHead head;
  bool streaming = false;      ///< The head has been passed on.
  std::string kept_body;       ///< Answer of a request run at most once.
  std::string pending_answer;  ///< Encoded; waits for the ledger.
  Instant answer_ready;        ///< When the answer was whole.
};

/// @return a digest of what makes two requests the same to an upstream.
Digest FingerprintOf(const CallRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_JOB_H_
