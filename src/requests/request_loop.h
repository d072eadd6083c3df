#ifndef HIBISCUSGLADE_REQUESTS_REQUEST_LOOP_H_
#define HIBISCUSGLADE_REQUESTS_REQUEST_LOOP_H_

#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/executor.h"
#include "base/log.h"
#include "base/metrics.h"
#include "calls/call_handler.h"
#include "claims/claim_store.h"
#include "control/control_loop.h"
#include "peer/peer_transport.h"
#include "rollouts/rollout_tally.h"
#include "routing/route_table_holder.h"
#include "routing/upstream_chooser.h"
#include "upstream/announcement_api.h"
#include "upstream/upstream_dialect.h"

namespace hibiscusglade {

struct RequestLoopConfig {
  PeerIdentity identity;
  std::string listen_address;   ///< Of the request plane, "ip:port".
  std::string request_address;  ///< Address at which peers reach this daemon.
  uint32_t upstream_connections = 100;
  uint64_t seed = 0;
  double link_mbps = 0;  ///< Of this instance, in 10^6 bit/s; 0: unknown.
  const UpstreamDialect& upstream_dialect = DefaultUpstreamDialect();
  /// Of the deployment; empty: those of the known instances.
  std::vector<std::string> failure_domains;
  RolloutTally* rollouts = nullptr;  ///< Gets the outcomes during rollouts.
  ChooserConfig choice;  ///< Instance, failure domain and seed are overwritten.
};

/// The daemon's request thread: entry, owner, and the links between them.
class RequestLoop : public CallHandler, public LocalUpstreamListener {
 public:
  /// @return the executor of the request thread, to which the claim store
  /// posts its results.
  virtual Executor& RequestExecutor() = 0;

  /// @return the event loop of the request thread, for callers' connections.
  virtual EventLoop& Loop() = 0;

  /// Listens and starts the thread.
  /// @param claims access to the ledger; must outlive the loop.
  /// @param announcements notified when the local upstream is down; must
  /// outlive the loop.
  virtual std::error_code Start(ClaimStore& claims,
                                AnnouncementSink& announcements) = 0;

  /// Refuses calls and attempts that could still run at `end` as not run.
  virtual void BeginStop(Instant end) = 0;

  /// Refuses new calls and attempts as not run; open ones continue.
  virtual void Drain() = 0;

  /// @return whether no call and no attempt is open.
  virtual bool Idle() = 0;

  /// @return the latest deadline of an open call or attempt; Instant{} if there
  /// is none.
  virtual Instant LatestDeadline() = 0;

  /// Ends all open calls and attempts with a final answer.
  /// @return those that were cut.
  virtual std::vector<UnfinishedRequest> CutOpenRequests() = 0;

  /// @return whether messages to peers wait to be sent.
  virtual bool HasUnsentOutput() = 0;

  virtual void Stop() = 0;

  /// To be called on the request thread.
  /// @return what the request plane holds, as fields of a log line.
  virtual LogFields Usage() const = 0;
};

std::unique_ptr<RequestLoop> MakeRequestLoop(const RequestLoopConfig& config,
                                             const Clock& clock,
                                             Metrics& metrics,
                                             const RouteTableHolder& routes);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_REQUEST_LOOP_H_
