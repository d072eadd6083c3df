#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_RUN_EVENTS_FORWARDER_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_RUN_EVENTS_FORWARDER_H_

#include <string>
#include <utility>

#include "owner/owner.h"

namespace hibiscusglade {

/// Forwards run events to the owner, which is created after the client that
/// reports them.
struct RunEventsForwarder : public RunEvents {
  void OnRunHead(RunId run, const AnswerHead& head, Instant now) override {
    owner->OnRunHead(run, head, now);
  }
  void OnRunData(RunId run, std::string data, Instant now) override {
    owner->OnRunData(run, std::move(data), now);
  }
  void OnRunEnd(RunId run, Instant now) override { owner->OnRunEnd(run, now); }
  void OnRunFailed(RunId run, const RunFailure& failure, Instant now) override {
    owner->OnRunFailed(run, failure, now);
  }
  void OnProbed(bool reachable, Instant now) override {
    owner->OnProbed(reachable, now);
  }
  Owner* owner = nullptr;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_RUN_EVENTS_FORWARDER_H_
