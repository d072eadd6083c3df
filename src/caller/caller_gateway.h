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
  /// Service of the upstream beside this daemon; becomes the origin service of
  /// each request.
  std::string origin_service;
  const CallerDialect& dialect = DefaultCallerDialect();
};

/// What a gateway holds.
struct CallerGatewayUsage {
  size_t connections = 0;
  size_t exchanges = 0;       ///< Requests that are not answered.
  size_t output_bytes = 0;    ///< Allocated for output.
  size_t unparsed_bytes = 0;  ///< Allocated for input beyond those requests.
};

/// HTTP server for callers, on an event loop. All methods must be called on
/// the loop's thread, or before the loop runs.
class CallerGateway {
 public:
  virtual ~CallerGateway() = default;

  /// Starts to listen.
  /// @return CallerCode::kListenFailed when it can't listen on the address.
  virtual std::error_code Start() = 0;

  /// Closes each connection after the answer to the next request that is read
  /// from it.
  virtual void CloseAfterAnswers() = 0;

  virtual CallerGatewayUsage Usage() const = 0;
};

/// @param handler answers the requests; it must outlive the gateway.
/// @param routes provides the limits of the version in use.
std::unique_ptr<CallerGateway> MakeCallerGateway(
    const CallerGatewayConfig& config, EventLoop& loop, const Clock& clock,
    CallHandler& handler, const RouteTableHolder& routes, Metrics& metrics);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_CALLER_GATEWAY_H_
