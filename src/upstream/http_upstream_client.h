#ifndef HIBISCUSGLADE_UPSTREAM_HTTP_UPSTREAM_CLIENT_H_
#define HIBISCUSGLADE_UPSTREAM_HTTP_UPSTREAM_CLIENT_H_

#include <memory>

#include "base/clock.h"
#include "base/event_loop.h"
#include "calls/call_links.h"
#include "upstream/upstream_dialect.h"

namespace hibiscusglade {

struct UpstreamClientConfig {
  uint32_t max_connections = 100;  ///< To the local upstream.
  Duration connect_timeout = std::chrono::milliseconds(500);
  const UpstreamDialect& dialect = DefaultUpstreamDialect();
};

/// Makes a client that runs requests at the local upstream over HTTP, on an
/// event loop.
/// @param events notified of the progress of runs, in tasks that the loop runs
/// at the end of an iteration.
std::unique_ptr<UpstreamClient> MakeHttpUpstreamClient(
    const UpstreamClientConfig& config, RunEvents& events, EventLoop& loop,
    const Clock& clock);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_HTTP_UPSTREAM_CLIENT_H_
