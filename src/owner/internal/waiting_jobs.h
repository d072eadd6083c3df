#ifndef HIBISCUSGLADE_OWNER_INTERNAL_WAITING_JOBS_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_WAITING_JOBS_H_

#include <system_error>
#include <vector>

#include "admission/admission.h"
#include "owner/internal/job_closer.h"
#include "owner/internal/job_table.h"
#include "owner/internal/slot_gate.h"

namespace hibiscusglade {

/// Refuses, all at once, jobs that have not begun to run: the upstream drains,
/// is gone, or the daemon stops. Each method refuses those whose deadline is
/// later than `after`.
class WaitingJobs {
 public:
  /// All parameters must outlive this object.
  WaitingJobs(JobTable& jobs, Admission& admission, SlotGate& gate,
              JobCloser& closer)
      : jobs_(jobs), admission_(admission), gate_(gate), closer_(closer) {}

  /// Those whose bodies are on their way.
  void RefuseReceiving(const std::error_code& code, Instant after = {});

  /// Those that have no slot yet.
  void RefuseQueued(const std::error_code& code, Instant after = {});

  /// Those that wait for the ledger; each is refused once it has answered.
  void RefuseClaiming(const std::error_code& code, Instant after = {});

  /// Those that have a slot but wait behind a suspect.
  /// @return them; their slots are to be released.
  std::vector<SlotRequestId> RefuseHeld(const std::error_code& code,
                                        Instant after = {});

 private:
  JobTable& jobs_;
  Admission& admission_;
  SlotGate& gate_;
  JobCloser& closer_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_WAITING_JOBS_H_
