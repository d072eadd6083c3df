#ifndef HIBISCUSGLADE_CALLER_CALLER_GATEWAY_H_
#define HIBISCUSGLADE_CALLER_CALLER_GATEWAY_H_

#include <memory>
#include <string>
#include <system_error>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/metrics.h"
#include "caller/caller_dialect.h"
#include "calls/call_handler.h"
#include "routing/route_table_holder.h"

namespace hibiscusglade {

struct CallerGatewayConfig {
  std::string address;  ///< IP address to listen on.
  uint16_t port = 0;
  uint32_t max_connections = 1000;
  uint32_t idle_timeout_s = 60;
  /// Service of the upstream beside this daemon, told of each request.
  std::string origin_service;
  const CallerDialect& dialect = OwnCallerDialect();
};

/// HTTP server towards callers, on an event loop. All methods are for the
/// loop's thread, or for before it runs.
class CallerGateway {
 public:
  virtual ~CallerGateway() = default;

  /// Starts to listen.
  /// @return CallerCode::kListenFailed when the address can't be used.
  virtual std::error_code Start() = 0;

  /// From now on each answer ends its connection.
  virtual void CloseAfterAnswers() = 0;
};

/// @param handler takes the requests; it must outlive the gateway.
/// @param routes gives the limits of the version in use.
std::unique_ptr<CallerGateway> MakeCallerGateway(
    const CallerGatewayConfig& config, EventLoop& loop, const Clock& clock,
    CallHandler& handler, const RouteTableHolder& routes, Metrics& metrics);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_CALLER_GATEWAY_H_
