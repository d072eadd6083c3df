#ifndef HIBISCUSGLADE_OWNER_OWNER_H_
#define HIBISCUSGLADE_OWNER_OWNER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "admission/quarantine.h"
#include "base/metrics.h"
#include "calls/call_links.h"
#include "claims/claim_store.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Told by an owner what other daemons should know; called on its thread.
class OwnerListener {
 public:
  virtual ~OwnerListener() = default;

  /// The upstream died while requests ran that may have killed it.
  virtual void OnSuspicions(const std::string& service,
                            const std::vector<QuarantineNews>& news) = 0;

  /// The upstream takes no connection any more.
  virtual void OnUpstreamDown(const UpstreamAnnouncement& upstream) = 0;
};

/// What an owner works with; all must outlive it.
struct OwnerParts {
  EntryLink& entries;
  UpstreamClient& upstream;
  ClaimStore& claims;
  Quarantine& quarantine;
  Metrics& metrics;
  const Clock& clock;
  OwnerListener& listener;
};

/// The daemon's part beside its upstream: the only way to it. Admits, queues
/// or refuses attempts, runs them and streams their answers. Single-threaded.
class Owner : public RunEvents {
 public:
  /// Takes an attempt of an entry.
  virtual void OnStart(const EntryRef& entry, const CallAttempt& attempt,
                       Instant now) = 0;
  virtual void OnCredit(const EntryRef& entry, const AttemptId& attempt,
                        uint64_t bytes, Instant now) = 0;
  virtual void OnCancel(const EntryRef& entry, const AttemptId& attempt,
                        Instant now) = 0;

  /// An entry is alive and still waits for these attempts.
  virtual void OnEntryAlive(const std::vector<AttemptId>& attempts,
                            Instant now) = 0;
  virtual void OnTick(Instant now) = 0;

  /// Tells which upstream runs beside this daemon, if any, and the limits.
  virtual void SetUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                           const AdmissionConfig& config, Instant now) = 0;

  /// Refuses all that has not begun and goes on with what runs.
  virtual void Drain(Instant now) = 0;

  /// @return whether an entry's attempt is in this owner's hands.
  virtual bool Knows(const AttemptId& attempt) const = 0;

  /// @return whether nothing waits, runs or is still to be told to the ledger.
  virtual bool Idle() const = 0;
};

/// @param instance this instance's name, written into claims.
std::unique_ptr<Owner> MakeOwner(std::string instance, const OwnerParts& parts);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_OWNER_H_
