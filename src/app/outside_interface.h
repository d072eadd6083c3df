#ifndef HIBISCUSGLADE_APP_OUTSIDE_INTERFACE_H_
#define HIBISCUSGLADE_APP_OUTSIDE_INTERFACE_H_

#include "caller/caller_dialect.h"
#include "http/simple_http_server.h"
#include "operator/operator_backend.h"
#include "upstream/announcement_api.h"
#include "upstream/upstream_dialect.h"

namespace hibiscusglade {

/// What callers, upstreams and operators meet: names, formats and calls in
/// front of the same daemon. Any thread may call it.
class OutsideInterface {
 public:
  virtual ~OutsideInterface() = default;

  virtual const CallerDialect& Callers() const = 0;
  virtual const UpstreamDialect& Upstreams() const = 0;

  /// Answers a request of the local upstream.
  virtual HttpResponse AnswerAnnouncement(AnnouncementSink& sink,
                                          const HttpRequest& request) const = 0;

  /// Answers a request of an operator; may wait for the answer.
  virtual HttpResponse AnswerOperator(OperatorBackend& backend,
                                      const HttpRequest& request) const = 0;

  /// Answers whether the daemon serves callers.
  virtual HttpResponse AnswerReadiness(bool ready,
                                       const HttpRequest& request) const = 0;
};

/// The product's own interface.
const OutsideInterface& OwnInterface();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_OUTSIDE_INTERFACE_H_
