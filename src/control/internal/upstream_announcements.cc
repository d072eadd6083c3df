#include "control/internal/upstream_announcements.h"

#include <utility>

#include "base/log.h"

namespace hibiscusglade {

UpstreamAnnouncements::UpstreamAnnouncements(const std::string& instance,
                                             const Clock& clock,
                                             Metrics& metrics,
                                             LeaveRecorder::Submitter submitter,
                                             EffectsListener listener)
    : clock_(clock),
      reporter_(clock, metrics),
      leave_recorder_(instance, metrics, std::move(submitter)),
      listener_(std::move(listener)) {}

void UpstreamAnnouncements::OnAnnounce(const UpstreamAnnouncement& upstream,
                                       Instant posted_at,
                                       LeaveRecorder::Done done) {
  UpstreamAnnouncement announcement = upstream;
  if (draining_) announcement.state = UpstreamState::kDraining;
  const auto ignored = Handle(announcement, posted_at);
  const bool is_expected = ignored != IgnoredReason::kUnexpected;
  Record(is_expected ? LeaveIn(upstream) : std::nullopt, std::move(done));
}

void UpstreamAnnouncements::OnDeregister(const std::string& id,
                                         int64_t started_at_ms,
                                         LeaveRecorder::Done done) {
  const auto upstream = membership_->LocalUpstream();
  Log(LogLevel::kInfo, "control", "An upstream deregistered.",
      {{"upstream", id},
       {"born", std::to_string(started_at_ms)},
       {"registered", upstream.has_value() ? upstream->id : ""}});
  listener_(membership_->OnUpstreamLeft(id, started_at_ms, clock_.Now()));
  Record(LeaveOf(upstream, id, started_at_ms), std::move(done));
}

void UpstreamAnnouncements::OnReportedDown(const UpstreamAnnouncement& upstream,
                                           Instant posted_at) {
  const MembershipEffects effects = membership_->OnUpstreamDown(
      upstream.id, upstream.started_at_ms, clock_.Now());
  Log(LogLevel::kInfo, "control", "The local upstream was reported down.",
      {{"upstream", upstream.id},
       {"born", std::to_string(upstream.started_at_ms)},
       {"decision", effects.changed ? "drains" : "ignored"},
       {"queued_ms", MillisText(clock_.Now() - posted_at)}});
  listener_(effects);
}

void UpstreamAnnouncements::DrainLocalUpstream() {
  draining_ = true;
  auto upstream = membership_->LocalUpstream();
  if (!upstream.has_value()) return;
  upstream->state = UpstreamState::kDraining;
  Handle(*upstream, clock_.Now());
}

void UpstreamAnnouncements::OnLeavesRead(
    const std::vector<UpstreamLeave>& leaves) {
  leave_recorder_.OnLeavesRead(leaves);
  const auto previous = membership_->LocalUpstream();
  listener_(membership_->OnLeavesRead(leaves, clock_.Now()));
  reporter_.ReportLeavesRead(leaves, previous, membership_->LocalUpstream());
}

std::optional<IgnoredReason> UpstreamAnnouncements::Handle(
    const UpstreamAnnouncement& upstream, Instant posted_at) {
  const Instant now = clock_.Now();
  const auto previous = membership_->LocalUpstream();
  const auto ignored = membership_->WhyIgnored(upstream, now);
  if (ignored.has_value()) {
    reporter_.ReportIgnored(upstream, *ignored, previous);
    return ignored;
  }
  listener_(membership_->OnAnnounce(upstream, now));
  reporter_.ReportAccepted(upstream, previous, posted_at);
  if (upstream.state != UpstreamState::kDraining) {
    leave_recorder_.OnServing(upstream);
  }
  return std::nullopt;
}

void UpstreamAnnouncements::Record(const std::optional<UpstreamLeave>& leave,
                                   LeaveRecorder::Done done) {
  if (leave.has_value()) {
    leave_recorder_.Record(*leave, std::move(done));
  } else {
    done(true);
  }
}

}  // namespace hibiscusglade
