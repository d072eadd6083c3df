#include "app/external_interface.h"
#include "operator/operator_api.h"

namespace hibiscusglade {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

class DefaultExternalInterface : public ExternalInterface {
 public:
  const CallerDialect& Callers() const override {
    return DefaultCallerDialect();
  }

  const UpstreamDialect& Upstreams() const override {
    return DefaultUpstreamDialect();
  }

  HttpResponse AnswerAnnouncement(AnnouncementSink& sink,
                                  const HttpRequest& request) const override {
    return hibiscusglade::AnswerAnnouncement(sink, request);
  }

  HttpResponse AnswerOperator(OperatorBackend& backend,
                              const HttpRequest& request) const override {
    return hibiscusglade::AnswerOperator(backend, request);
  }

  HttpResponse AnswerReadiness(bool ready, const HttpRequest&) const override {
    return {ready ? kStatusOk : kStatusUnavailable, "application/json",
            ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"};
  }
};

}  // namespace

const ExternalInterface& DefaultInterface() {
  static const DefaultExternalInterface default_interface;
  return default_interface;
}

}  // namespace hibiscusglade
