#include "owner/internal/job_closer.h"

#include <utility>

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {

void JobCloser::RefuseNotRun(SlotRequestId id, const std::error_code& code,
                             Duration retry_after) {
  Job& job = jobs_[id];
  receiver_.Remove(job);
  if (!job.attempt.NeedsClaim()) {
    sender_.SendRefusal(job, code, Certainty::kNotRun, "", retry_after);
    Remove(id);
    return;
  }
  job.stage = JobStage::kRevoking;
  writer_.Revoke(job, [this, id, code,
                       retry_after](const ClaimOutcome& outcome) {
    Job* revoked = jobs_.Find(id);
    if (revoked == nullptr) return;
    if (outcome.error) {
      sender_.SendRefusal(*revoked, ClaimsCode::kLedgerUnresponsive,
                          Certainty::kUnknown);
    } else {
      sender_.SendRefusal(*revoked, code, Certainty::kNotRun, "", retry_after);
    }
    Remove(id);
  });
}

void JobCloser::EndUnclaimed(SlotRequestId id, const ClaimOutcome& outcome) {
  Job& job = jobs_[id];
  if (outcome.error == ClaimsCode::kAlreadyDone) {
    sender_.SendKeptAnswer(job, outcome.kept_answer);
  } else {
    const ResultCodeInfo* info = FindResultCode(outcome.error);
    sender_.SendRefusal(
        job, outcome.error,
        info == nullptr ? Certainty::kUnknown : info->certainty);
  }
  Remove(id);
}

void JobCloser::RefuseConnectionLost() {
  for (SlotRequestId id : jobs_.IdsAt(JobStage::kConnectionLost)) {
    const Job& job = jobs_[id];
    sender_.SendRefusal(job, RoutingCode::kAnswerBroken, Certainty::kUnknown,
                        job.connection_error);
    Remove(id);
  }
}

void JobCloser::FinishClaim(SlotRequestId id, Instant now) {
  Job& job = jobs_[id];
  job.stage = JobStage::kFinishing;
  job.answer_completed = now;
  if (!job.streaming) {
    job.encoded_answer =
        EncodeKeptAnswer({job.head, std::exchange(job.body, {})});
  }
  // Send the answer after the ledger has stored it, so that a resend of the
  // request gets the same answer.
  writer_.Finish(job, job.encoded_answer,
                 [this, id](const ClaimOutcome&) { SendFinishedAnswer(id); });
}

void JobCloser::SendFinishedAnswer(SlotRequestId id) {
  Job* job = jobs_.Find(id);
  if (job == nullptr) return;
  if (job->streaming) {
    sender_.SendEnd(*job);
  } else {
    sender_.SendKeptAnswer(*job, job->encoded_answer);
  }
  Remove(id);
}

void JobCloser::Remove(SlotRequestId id) {
  const Job* job = jobs_.Find(id);
  if (job == nullptr) return;
  receiver_.Remove(*job);
  sender_.OnRemoved(*job);
  jobs_.Remove(id);
}

}  // namespace hibiscusglade
