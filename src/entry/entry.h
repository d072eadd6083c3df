#ifndef HIBISCUSGLADE_ENTRY_ENTRY_H_
#define HIBISCUSGLADE_ENTRY_ENTRY_H_

#include <memory>
#include <string>
#include <vector>

#include "admission/call_trees.h"
#include "base/metrics.h"
#include "calls/call_handler.h"
#include "calls/call_links.h"
#include "limits/customer_limits.h"
#include "rollouts/rollout_tally.h"
#include "routing/route_table_holder.h"
#include "routing/upstream_chooser.h"

namespace hibiscusglade {

/// Dependencies of an entry; all must outlive it.
struct EntryParts {
  OwnerLink& owners;
  const RouteTableHolder& routes;
  UpstreamChooser& chooser;
  Metrics& metrics;
  CustomerLimits& limits;
  /// Told of refused calls of the upstream beside this daemon; may be nullptr.
  CallTrees* call_trees = nullptr;
  RolloutTally* rollouts = nullptr;  ///< Gets the outcomes during rollouts.
};

/// What an entry holds.
struct EntryUsage {
  size_t calls = 0;
  size_t attempts = 0;
  size_t request_bytes = 0;  ///< Of the bodies of open calls.
};

/// Handles callers' requests: finds the route, chooses upstreams, sends
/// attempts to their owners and forwards the answer of exactly one attempt to
/// the caller. Single-threaded.
class Entry {
 public:
  virtual ~Entry() = default;

  virtual void Begin(CallHandle call, CallRequest request,
                     std::unique_ptr<CallerStream> stream, Instant now) = 0;
  virtual void OnCallerConsumed(CallHandle call, uint64_t bytes,
                                Instant now) = 0;
  virtual void OnCallerDisconnected(CallHandle call, Instant now) = 0;

  virtual void OnAnswerHead(const AttemptId& attempt, const AnswerHead& head,
                            const LoadReport& load, Instant now) = 0;
  virtual void OnAnswerChunk(const AttemptId& attempt, uint64_t sequence,
                             std::string data, Instant now) = 0;
  virtual void OnAnswerEnd(const AttemptId& attempt, const AnswerEnd& end,
                           const LoadReport& load, Instant now) = 0;
  virtual void OnAnswerRefused(const AttemptId& attempt, const Refusal& refusal,
                               const LoadReport& load, Instant now) = 0;

  /// An owner lets the bytes of an offered body before `until` be sent.
  virtual void OnBodyGranted(const AttemptId& attempt, uint64_t until) = 0;

  /// The link to an owner is unresponsive, lost or was replaced: its open
  /// attempts end as unknown.
  /// @param owner request address of the owner.
  /// @param reached whether the link was ever connected; if not, its open
  /// attempts end as not run.
  virtual void OnOwnerLost(const std::string& owner, bool reached,
                           Instant now) = 0;

  /// An owner reports that it does not know an open attempt, which therefore
  /// ends as unknown.
  virtual void OnAttemptUnknown(const AttemptId& attempt, Instant now) = 0;

  virtual void OnTick(Instant now) = 0;

  /// The daemon was told to stop. From now on no attempt is sent whose answer
  /// could still be awaited at `end`: its call is refused as not run, unless an
  /// earlier attempt may have run. All that fits is served.
  virtual void BeginStop(Instant end, Instant now) = 0;

  /// From now on refuses new calls as not run; open calls continue.
  virtual void Stop() = 0;

  /// @return the latest deadline of an open call; Instant{} if there is none.
  virtual Instant LatestDeadline() const = 0;

  /// Ends all open calls with a final answer, as far as none was forwarded yet:
  /// unknown if an upstream may have run the request.
  /// @return those calls.
  virtual std::vector<UnfinishedRequest> CutOpenCalls(Instant now) = 0;

  /// @return the open attempts that were sent to an owner.
  virtual std::vector<AttemptId> OpenAttempts(
      const std::string& owner) const = 0;

  /// @return whether no call is open.
  virtual bool Idle() const = 0;

  virtual EntryUsage Usage() const = 0;
};

/// @param instance name of this instance; attempt ids begin with it.
/// @param incarnation of this process; part of the attempt ids.
std::unique_ptr<Entry> MakeEntry(std::string instance, uint64_t incarnation,
                                 const EntryParts& parts);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_ENTRY_H_
