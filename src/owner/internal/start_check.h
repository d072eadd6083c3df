#ifndef HIBISCUSGLADE_OWNER_INTERNAL_START_CHECK_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_START_CHECK_H_

#include <optional>
#include <system_error>

#include "admission/quarantine.h"
#include "calls/stop_limit.h"
#include "owner/internal/claim_writer.h"
#include "owner/internal/job.h"
#include "owner/internal/upstream_watch.h"

namespace hibiscusglade {

/// Decides whether an attempt may be taken at all, whatever the load is.
class StartCheck {
 public:
  /// All parameters must outlive this object.
  StartCheck(const UpstreamWatch& upstream, const ClaimWriter& writer,
             Quarantine& quarantine)
      : upstream_(upstream), writer_(writer), quarantine_(quarantine) {}

  /// From now on, what could still run at `end` is not taken.
  void BeginStop(Instant end) { stop_limit_.Set(end); }

  /// From now on, nothing is taken.
  void Drain() { draining_ = true; }

  /// @param job may lack an offered body, and its fingerprint.
  /// @return why a job is not taken; nullopt when it may be.
  std::optional<std::error_code> ReasonToRefuse(const Job& job, Instant now);

 private:
  const UpstreamWatch& upstream_;
  const ClaimWriter& writer_;
  Quarantine& quarantine_;
  StopLimit stop_limit_;
  bool draining_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_START_CHECK_H_
