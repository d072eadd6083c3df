#include "control/internal/announcement_reporter.h"

#include <string>

namespace hibiscusglade {
namespace {

void LogAnnouncement(const std::string& text,
                     const UpstreamAnnouncement& upstream,
                     const LogFields& more) {
  LogFields fields = {
      {"upstream", upstream.id},
      {"service", upstream.service},
      {"state", std::to_string(static_cast<int>(upstream.state))},
      {"born", std::to_string(upstream.started_at_ms)},
      {"sequence", std::to_string(upstream.sequence)}};
  fields.insert(fields.end(), more.begin(), more.end());
  Log(LogLevel::kInfo, "control", text, fields);
}

}  // namespace

void AnnouncementReporter::ReportAccepted(
    const UpstreamAnnouncement& upstream,
    const std::optional<UpstreamAnnouncement>& previous,
    Instant posted_at) const {
  if (!previous.has_value() || previous->id != upstream.id ||
      previous->started_at_ms != upstream.started_at_ms ||
      previous->state != upstream.state) {
    LogAnnouncement("The local upstream announced a new id or state.", upstream,
                    {{"queued_ms", MillisText(clock_.Now() - posted_at)},
                     {"leaves_read", leaves_read_ ? "1" : "0"}});
  }
}

void AnnouncementReporter::ReportIgnored(
    const UpstreamAnnouncement& upstream, IgnoredReason reason,
    const std::optional<UpstreamAnnouncement>& registered) {
  ignored_announcements_.Add();
  if (!ignored_lines_.AllowLine(clock_.Now())) return;
  LogAnnouncement("An announcement was ignored as out of date or not expected.",
                  upstream,
                  {{"reason", NameOf(reason)},
                   {"address", upstream.address},
                   {"registered", registered.has_value() ? registered->id : ""},
                   {"lines_left_out",
                    std::to_string(ignored_lines_.TakeSuppressedCount())}});
}

void AnnouncementReporter::ReportLeavesRead(
    const std::vector<UpstreamLeave>& leaves,
    const std::optional<UpstreamAnnouncement>& previous,
    const std::optional<UpstreamAnnouncement>& registered) {
  leaves_read_ = true;
  const char* decision = "-";
  if (previous.has_value()) {
    decision = registered.has_value() ? "kept" : "removed";
  }
  Log(LogLevel::kInfo, "control", "The recorded leaves were read.",
      {{"count", std::to_string(leaves.size())},
       {"last", leaves.empty() ? "" : leaves.back().id},
       {"registered", previous.has_value() ? previous->id : ""},
       {"decision", decision}});
}

}  // namespace hibiscusglade
