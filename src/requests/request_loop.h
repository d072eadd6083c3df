#ifndef HIBISCUSGLADE_REQUESTS_REQUEST_LOOP_H_
#define HIBISCUSGLADE_REQUESTS_REQUEST_LOOP_H_

#include <memory>
#include <string>
#include <system_error>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/executor.h"
#include "base/metrics.h"
#include "calls/call_handler.h"
#include "claims/claim_store.h"
#include "control/control_loop.h"
#include "peer/peer_transport.h"
#include "routing/route_table_holder.h"
#include "routing/upstream_chooser.h"
#include "upstream/announcement_api.h"
#include "upstream/upstream_dialect.h"

namespace hibiscusglade {

struct RequestLoopConfig {
  PeerIdentity identity;
  std::string listen_address;   ///< Of the request plane, "ip:port".
  std::string request_address;  ///< Own, as peers reach it.
  uint32_t upstream_connections = 100;
  uint64_t seed = 0;
  const UpstreamDialect& upstream_dialect = OwnUpstreamDialect();
  ChooserConfig choice;  ///< Instance, failure domain and seed are filled in.
};

/// The daemon's request thread: entry, owner, and the links between them.
class RequestLoop : public CallHandler, public LocalUpstreamListener {
 public:
  /// The thread's queue; the claim store tells its results there.
  virtual Executor& Queue() = 0;

  /// The thread's event loop, for callers' connections.
  virtual EventLoop& Loop() = 0;

  /// Listens and starts the thread.
  /// @param claims way to the ledger; it must outlive the loop.
  virtual std::error_code Start(ClaimStore& claims,
                                AnnouncementSink& announcements) = 0;

  /// Refuses new calls and attempts as not run; open ones go on.
  virtual void Drain() = 0;

  /// @return whether no call and no attempt is open.
  virtual bool Idle() = 0;

  virtual void Stop() = 0;
};

std::unique_ptr<RequestLoop> MakeRequestLoop(const RequestLoopConfig& config,
                                             const Clock& clock,
                                             Metrics& metrics,
                                             const RouteTableHolder& routes);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_REQUEST_LOOP_H_
