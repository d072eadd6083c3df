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
  virtual void Announce(const UpstreamAnnouncement& upstream) = 0;

  /// The upstream has deregistered.
  /// @param id of the upstream incarnation that left; empty: the registered
  /// one, whatever its id.
  /// @param started_at_ms wall-clock time at which it started; 0: not given.
  virtual void Deregister(const std::string& id, int64_t started_at_ms) = 0;
};

/// Answers one request to the HTTP API for announcements.
///   PUT    /v1/announcement   register or renew; see docs/OPERATIONS.md
///   DELETE /v1/announcement   deregister
HttpResponse AnswerAnnouncement(AnnouncementSink& sink,
                                const HttpRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_ANNOUNCEMENT_API_H_
