#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_ANNOUNCEMENT_REPORTER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_ANNOUNCEMENT_REPORTER_H_

#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "membership/types/upstream_leave.h"
#include "upstream/announcement_api.h"

namespace hibiscusglade {

/// Logs what the local upstream announces, and counts the announcements that
/// were ignored.
class AnnouncementReporter {
 public:
  AnnouncementReporter(const Clock& clock, Metrics& metrics)
      : clock_(clock),
        ignored_announcements_(
            metrics.CounterOf("announcements_ignored_total", "")) {}

  /// Logs an announcement that was accepted, if it has a new id or state.
  /// @param previous upstream that was registered before.
  /// @param posted_at when the announcement was queued for the control thread.
  void ReportAccepted(const UpstreamAnnouncement& upstream,
                      const std::optional<UpstreamAnnouncement>& previous,
                      Instant posted_at) const;

  /// Counts and logs an announcement that is out of date or not of the upstream
  /// that is expected here.
  void ReportIgnored(const UpstreamAnnouncement& upstream, IgnoredReason reason,
                     const std::optional<UpstreamAnnouncement>& registered);

  /// Logs what the replicas have recorded for earlier processes of this daemon.
  /// @param previous upstream that was registered before.
  /// @param registered upstream that is still registered.
  void ReportLeavesRead(const std::vector<UpstreamLeave>& leaves,
                        const std::optional<UpstreamAnnouncement>& previous,
                        const std::optional<UpstreamAnnouncement>& registered);

 private:
  const Clock& clock_;
  Counter& ignored_announcements_;
  LogRateLimiter ignored_lines_{1};
  bool leaves_read_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_ANNOUNCEMENT_REPORTER_H_
