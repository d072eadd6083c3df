#include "owner/internal/waiting_jobs.h"

namespace hibiscusglade {

void WaitingJobs::RefuseReceiving(const std::error_code& code, Instant after) {
  for (SlotRequestId id : jobs_.IdsAt(JobStage::kReceiving, after)) {
    closer_.RefuseNotRun(id, code);
  }
}

void WaitingJobs::RefuseQueued(const std::error_code& code, Instant after) {
  RefuseReceiving(code, after);
  for (SlotRequestId id : jobs_.IdsAt(JobStage::kQueued, after)) {
    admission_.CancelQueued(id);
    closer_.RefuseNotRun(id, code);
  }
}

void WaitingJobs::RefuseClaiming(const std::error_code& code, Instant after) {
  for (SlotRequestId id : jobs_.IdsAt(JobStage::kClaiming, after)) {
    Job& job = jobs_[id];
    if (!job.pending_refusal) job.pending_refusal = code;
  }
}

std::vector<SlotRequestId> WaitingJobs::RefuseHeld(const std::error_code& code,
                                                   Instant after) {
  std::vector<SlotRequestId> held = jobs_.IdsAt(JobStage::kAdmitted, after);
  // All at once, so that none starts when one before it is removed.
  for (SlotRequestId id : held) gate_.Remove(id);
  for (SlotRequestId id : held) closer_.RefuseNotRun(id, code);
  return held;
}

}  // namespace hibiscusglade
