#ifndef HIBISCUSGLADE_OWNER_INTERNAL_JOB_CLOSER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_JOB_CLOSER_H_

#include <system_error>

#include "base/clock.h"
#include "owner/internal/answer_sender.h"
#include "owner/internal/body_receiver.h"
#include "owner/internal/claim_writer.h"
#include "owner/internal/job_table.h"

namespace hibiscusglade {

/// Ends jobs: settles their claims, sends their entries the outcome, and
/// removes them from the table.
class JobCloser {
 public:
  /// All parameters must outlive this object.
  JobCloser(JobTable& jobs, ClaimWriter& writer, AnswerSender& sender,
            BodyReceiver& receiver)
      : jobs_(jobs), writer_(writer), sender_(sender), receiver_(receiver) {}

  /// Refuses an attempt that did not run. An attempt that needs a claim is
  /// reported as not run only after the ledger has revoked its claim.
  void RefuseNotRun(SlotRequestId id, const std::error_code& code,
                    Duration retry_after = {});

  /// Ends an attempt whose claim the ledger did not grant: with the answer that
  /// the ledger keeps, or refused.
  /// @param outcome with an error.
  void EndUnclaimed(SlotRequestId id, const ClaimOutcome& outcome);

  /// Refuses the attempts that wait for the check whether the upstream died.
  void RefuseConnectionLost();

  /// Has the ledger store the answer to a request with a claim, which ran, and
  /// then sends it.
  void FinishClaim(SlotRequestId id, Instant now);

  /// Sends the answer of a request that ran, whether the ledger stored it or
  /// not.
  void SendFinishedAnswer(SlotRequestId id);

  void Remove(SlotRequestId id);

 private:
  JobTable& jobs_;
  ClaimWriter& writer_;
  AnswerSender& sender_;
  BodyReceiver& receiver_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_JOB_CLOSER_H_
