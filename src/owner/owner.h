#ifndef HIBISCUSGLADE_OWNER_OWNER_H_
#define HIBISCUSGLADE_OWNER_OWNER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "admission/call_trees.h"
#include "admission/quarantine.h"
#include "base/metrics.h"
#include "calls/call_links.h"
#include "calls/types/upstream_activity.h"
#include "claims/claim_store.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Notified of events at an owner that concern other daemons. Called on the
/// owner's thread.
class OwnerListener {
 public:
  virtual ~OwnerListener() = default;

  /// The upstream died while requests were running.
  /// @param notices what is now suspected of those requests.
  virtual void OnSuspicions(const std::string& service,
                            const std::vector<QuarantineNotice>& notices) = 0;

  /// The upstream no longer accepts connections, or another one uses its
  /// address.
  virtual void OnUpstreamDown(const UpstreamAnnouncement& upstream) = 0;
};

/// Dependencies of an owner; all must outlive it.
struct OwnerParts {
  EntryLink& entries;
  UpstreamClient& upstream;
  ClaimStore& claims;
  Quarantine& quarantine;
  Metrics& metrics;
  const Clock& clock;
  OwnerListener& listener;
  /// Rate of this instance's link in 10^6 bit/s; 0: unknown, so that answers
  /// are not paced.
  double link_mbps = 0;
  /// Counters of the bytes that this daemon sends over the link, for whatever
  /// purpose; answers get what those leave.
  std::vector<const Counter*> link_traffic = {};
  /// Counters of the bytes that this daemon receives over the link; offered
  /// bodies get what those leave.
  std::vector<const Counter*> link_received = {};
  /// Told of all runs; nullptr: no new request is refused for its calls.
  CallTrees* call_trees = nullptr;
};

/// What an owner holds.
struct OwnerUsage {
  size_t jobs = 0;           ///< Attempts that are queued or running.
  size_t request_bytes = 0;  ///< Of the bodies of their requests.
  size_t answer_bytes = 0;   ///< Of answers that are not sent yet.
};

/// Sends requests to the upstream beside this daemon, as the only sender to it.
/// Admits, queues or refuses the attempts of entries, runs them and streams the
/// answers back. Single-threaded.
class Owner : public RunEvents {
 public:
  /// An entry has sent an attempt.
  virtual void OnStart(const EntryRef& entry, CallAttempt attempt,
                       Instant now) = 0;

  /// An entry has sent a piece of a body that it had offered.
  /// @param offset of the piece in the body.
  virtual void OnBodyPiece(const AttemptId& attempt, uint64_t offset,
                           const std::string& data, Instant now) = 0;

  /// An entry can receive more bytes of an attempt's answer.
  virtual void OnCredit(const EntryRef& entry, const AttemptId& attempt,
                        uint64_t bytes, Instant now) = 0;

  /// An entry no longer needs the answer to an attempt.
  virtual void OnCancel(const EntryRef& entry, const AttemptId& attempt,
                        Instant now) = 0;

  /// An entry is alive and still waits for the answers to these attempts.
  virtual void OnEntryAlive(const std::vector<AttemptId>& attempts,
                            Instant now) = 0;
  virtual void OnTick(Instant now) = 0;

  /// Sets the upstream beside this daemon, if there is one, and its limits.
  virtual void SetUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                           const AdmissionConfig& config, Instant now) = 0;

  /// Starts no run while `hold` is set, as it is not known yet what others
  /// suspect.
  virtual void HoldRuns(bool hold, Instant now) = 0;

  /// The daemon was told to stop. From now on attempts are refused as not run
  /// if they could still run at `end`, waiting ones too. Those that fit run.
  virtual void BeginStop(Instant end, Instant now) = 0;

  /// Refuses all attempts that have not started to run, and all new ones.
  /// Running ones finish.
  virtual void Drain(Instant now) = 0;

  /// @return the latest deadline of an open attempt; Instant{} if there is
  /// none.
  virtual Instant LatestDeadline() const = 0;

  /// Ends all open attempts: with the answer that the upstream gave, or as
  /// unknown.
  /// @return those of other daemons' entries that got no answer.
  virtual std::vector<UnfinishedRequest> CutOpenAttempts(Instant now) = 0;

  /// @return whether this owner has an attempt that is neither answered nor
  /// refused yet, or whose answer waits for the link.
  virtual bool HasAttempt(const AttemptId& attempt) const = 0;

  /// @return whether there are no attempts, no queued answers and no unanswered
  /// claim commands.
  virtual bool Idle() const = 0;

  virtual OwnerUsage Usage() const = 0;

  /// @return what the upstream does now.
  virtual UpstreamActivity Activity() const = 0;
};

/// @param instance name of this instance; claims record it as their owner.
std::unique_ptr<Owner> MakeOwner(std::string instance, const OwnerParts& parts);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_OWNER_H_
