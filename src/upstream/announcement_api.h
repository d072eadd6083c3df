#ifndef HIBISCUSGLADE_UPSTREAM_ANNOUNCEMENT_API_H_
#define HIBISCUSGLADE_UPSTREAM_ANNOUNCEMENT_API_H_

#include "http/simple_http_server.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Takes announcements of the local upstream. Any thread may call it.
class AnnouncementSink {
 public:
  virtual ~AnnouncementSink() = default;

  /// The upstream announces itself, renews, or changes its state.
  virtual void Announce(const UpstreamAnnouncement& upstream) = 0;

  /// The upstream has left.
  /// @param id of the start that has left; empty for whichever there is.
  /// @param born_ms calendar time of that start; 0 when it is not told.
  virtual void Gone(const std::string& id, int64_t born_ms) = 0;
};

/// Answers one request of the announcements' HTTP API.
///   PUT    /v1/announcement   announce or renew; see docs/SETTINGS.md
///   DELETE /v1/announcement   leave
HttpResponse AnswerAnnouncement(AnnouncementSink& sink,
                                const HttpRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_ANNOUNCEMENT_API_H_
