#ifndef HIBISCUSGLADE_APP_EXTERNAL_INTERFACE_H_
#define HIBISCUSGLADE_APP_EXTERNAL_INTERFACE_H_

#include "caller/caller_dialect.h"
#include "http/simple_http_server.h"
#include "operator/operator_backend.h"
#include "upstream/announcement_api.h"
#include "upstream/upstream_dialect.h"

namespace hibiscusglade {

/// Protocol spoken with callers, upstreams and operators: names, formats and
/// HTTP paths. The daemon behind it is the same for every implementation. Any
/// thread may call it.
class ExternalInterface {
 public:
  virtual ~ExternalInterface() = default;

  virtual const CallerDialect& Callers() const = 0;
  virtual const UpstreamDialect& Upstreams() const = 0;

  /// Answers a request of the local upstream.
  virtual HttpResponse AnswerAnnouncement(AnnouncementSink& sink,
                                          const HttpRequest& request) const = 0;

  /// Answers a request of an operator; may block until the backend answers.
  virtual HttpResponse AnswerOperator(OperatorBackend& backend,
                                      const HttpRequest& request) const = 0;

  /// Answers a readiness check.
  /// @param ready whether the daemon serves callers.
  virtual HttpResponse AnswerReadiness(bool ready,
                                       const HttpRequest& request) const = 0;
};

/// The interface of hibiscusglade itself, as opposed to a platform's.
const ExternalInterface& DefaultInterface();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_EXTERNAL_INTERFACE_H_
