#ifndef HIBISCUSGLADE_UPSTREAM_ANNOUNCEMENT_API_H_
#define HIBISCUSGLADE_UPSTREAM_ANNOUNCEMENT_API_H_

#include "http/simple_http_server.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Receives announcements of the local upstream. Any thread may call it.
class AnnouncementSink {
 public:
  virtual ~AnnouncementSink() = default;

  /// The upstream registers, renews its announcement, or changes its state.
  /// Waits until the announcement is in effect: from then on requests are
  /// admitted according to it, none to an upstream that drains.
  /// A drain is also recorded by the replicas.
  /// @return whether it was in effect, and recorded, within a time limit;
  /// otherwise it must not be acknowledged.
  virtual bool Announce(const UpstreamAnnouncement& upstream) = 0;

  /// The upstream has deregistered. Waits until that is in effect and recorded
  /// by the replicas.
  /// @param id of the upstream incarnation that left; empty: the registered
  /// one, whatever its id.
  /// @param started_at_ms wall-clock time at which it started; 0: not given.
  /// @return as Announce().
  virtual bool Deregister(const std::string& id, int64_t started_at_ms) = 0;

  /// The upstream does not respond; it gets no new requests until it announces
  /// itself again. Does not wait.
  virtual void ReportDown(const UpstreamAnnouncement& upstream) = 0;
};

/// Answers one request to the HTTP API for announcements.
///   PUT    /v1/announcement   register or renew; see docs/OPERATIONS.md
///   DELETE /v1/announcement   deregister
HttpResponse AnswerAnnouncement(AnnouncementSink& sink,
                                const HttpRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_ANNOUNCEMENT_API_H_
