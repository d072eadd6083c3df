#ifndef HIBISCUSGLADE_ENTRY_ENTRY_H_
#define HIBISCUSGLADE_ENTRY_ENTRY_H_

#include <memory>
#include <string>

#include "base/metrics.h"
#include "calls/call_handler.h"
#include "calls/call_links.h"
#include "routing/route_table_holder.h"
#include "routing/upstream_chooser.h"

namespace hibiscusglade {

/// What an entry works with; all must outlive it.
struct EntryParts {
  OwnerLink& owners;
  const RouteTableHolder& routes;
  UpstreamChooser& chooser;
  Metrics& metrics;
};

/// The daemon's part towards callers: finds the route, chooses upstreams,
/// sends attempts to their owners and passes one whole answer on.
/// Single-threaded.
class Entry {
 public:
  virtual ~Entry() = default;

  virtual void Begin(CallHandle call, CallRequest request,
                     std::unique_ptr<CallerStream> stream, Instant now) = 0;
  virtual void OnCallerConsumed(CallHandle call, uint64_t bytes,
                                Instant now) = 0;
  virtual void OnCallerGone(CallHandle call, Instant now) = 0;

  virtual void OnAnswerHead(const AttemptId& attempt, const AnswerHead& head,
                            const LoadReport& load, Instant now) = 0;
  virtual void OnAnswerChunk(const AttemptId& attempt, uint64_t sequence,
                             std::string data, Instant now) = 0;
  virtual void OnAnswerEnd(const AttemptId& attempt, const AnswerEnd& end,
                           const LoadReport& load, Instant now) = 0;
  virtual void OnAnswerRefused(const AttemptId& attempt, const Refusal& refusal,
                               const LoadReport& load, Instant now) = 0;

  /// The link to an owner is silent, lost or was replaced: what was open on it
  /// is resolved as unknown.
  /// @param owner request address of the owner.
  /// @param reached false: there never was a connection, so that what was open
  /// has not run.
  virtual void OnOwnerLost(const std::string& owner, bool reached,
                           Instant now) = 0;

  /// An owner says that it does not hold an attempt.
  virtual void OnAttemptUnknown(const AttemptId& attempt, Instant now) = 0;

  virtual void OnTick(Instant now) = 0;

  /// Refuses new calls as not run and goes on with what is open.
  virtual void Stop() = 0;

  /// @return open attempts sent to an owner.
  virtual std::vector<AttemptId> OpenAttempts(
      const std::string& owner) const = 0;

  /// @return whether no call is open.
  virtual bool Idle() const = 0;
};

/// @param instance this instance's name; attempt ids begin with it.
/// @param incarnation of this process; attempt ids hold it.
std::unique_ptr<Entry> MakeEntry(std::string instance, uint64_t incarnation,
                                 const EntryParts& parts);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_ENTRY_H_
