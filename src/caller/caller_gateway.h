#ifndef HIBISCUSGLADE_CALLER_CALLER_GATEWAY_H_
#define HIBISCUSGLADE_CALLER_CALLER_GATEWAY_H_

#include <memory>
#include <string>
#include <system_error>

#include "base/metrics.h"
#include "caller/caller_dialect.h"
#include "calls/call_handler.h"

namespace hibiscusglade {

struct CallerGatewayConfig {
  std::string address;  ///< IP address to listen on.
  uint16_t port = 0;
  uint32_t threads = 2;
  uint32_t max_connections = 1000;
  uint32_t idle_timeout_s = 60;
  uint64_t max_body_bytes = 64 << 20;  ///< The largest that a version allows.
  /// Service of the upstream beside this daemon, told of each request.
  std::string origin_service;
  const CallerDialect& dialect = OwnCallerDialect();
};

/// HTTP server towards callers.
class CallerGateway {
 public:
  virtual ~CallerGateway() = default;

  /// Starts to listen.
  /// @return CallerCode::kListenFailed when the address can't be used.
  virtual std::error_code Start() = 0;

  /// From now on each answer ends its connection.
  virtual void CloseAfterAnswers() = 0;

  /// Takes no new connections; open ones go on.
  virtual void Quiesce() = 0;
};

/// @param handler takes the requests; it must outlive the gateway.
std::unique_ptr<CallerGateway> MakeCallerGateway(
    const CallerGatewayConfig& config, CallHandler& handler, Metrics& metrics);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_CALLER_GATEWAY_H_
