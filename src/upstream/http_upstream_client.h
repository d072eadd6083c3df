#ifndef HIBISCUSGLADE_UPSTREAM_HTTP_UPSTREAM_CLIENT_H_
#define HIBISCUSGLADE_UPSTREAM_HTTP_UPSTREAM_CLIENT_H_

#include <memory>

#include "base/clock.h"
#include "base/executor.h"
#include "calls/call_links.h"
#include "upstream/upstream_dialect.h"

namespace hibiscusglade {

struct UpstreamClientConfig {
  uint32_t max_connections = 100;  ///< To the one local upstream.
  Duration connect_timeout = std::chrono::milliseconds(500);
  const UpstreamDialect& dialect = OwnUpstreamDialect();
};

/// Makes a client that runs requests at the local upstream by HTTP, on a
/// thread of its own.
/// @param events told of every run, as tasks on `executor`.
std::unique_ptr<UpstreamClient> MakeHttpUpstreamClient(
    const UpstreamClientConfig& config, RunEvents& events, Executor& executor,
    const Clock& clock);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_HTTP_UPSTREAM_CLIENT_H_
