#include "owner/internal/upstream_watch.h"

#include <string>
#include <utility>

#include "base/log.h"
#include "owner/internal/run_reporter.h"

namespace hibiscusglade {
namespace {

/// Interval between probes of an upstream that is down.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

}  // namespace

void UpstreamWatch::Set(const std::optional<UpstreamAnnouncement>& upstream) {
  if (!upstream.has_value() || IsReplaced(*upstream)) {
    current_.reset();
    return;
  }
  replaced_.reset();
  if (!IsCurrent(*upstream)) {
    // What is known of the one before says nothing about this one.
    down_ = false;
    down_notified_ = false;
    probe_outdated_ = probing_;
  }
  current_ = upstream;
}

bool UpstreamWatch::Drains() const {
  return current_.has_value() && current_->state == UpstreamState::kDraining;
}

bool UpstreamWatch::EndAnnouncementOf(const Job& job) {
  if (!current_.has_value() || job.attempt.upstream_id != current_->id ||
      job.upstream_started_at_ms != current_->started_at_ms) {
    return false;
  }
  Log(LogLevel::kWarning, "owner",
      "Another upstream uses the announced address.",
      {{"upstream", current_->id},
       {"address", current_->address},
       {"born", std::to_string(current_->started_at_ms)}});
  if (current_->id.empty()) {
    // A later announcement can't be told from that one: ask the address.
    SetReachable(false);
    return true;
  }
  replaced_ = current_;
  parts_.listener.OnUpstreamDown(*current_);
  current_.reset();
  return true;
}

void UpstreamWatch::FindSuspects(Instant now) {
  if (suspects_.empty()) suspects_ = death_detector_.TakeSuspects(now);
}

void UpstreamWatch::SendProbe(Instant now) {
  if (probing_ || !current_.has_value()) return;
  if (suspects_.empty() && (!down_ || now < next_probe_)) return;
  probing_ = true;
  next_probe_ = now + kProbeInterval;
  parts_.upstream.Probe(current_->address);
}

bool UpstreamWatch::OnProbed(bool reachable, Instant now) {
  probing_ = false;
  const std::vector<Digest> suspects = std::exchange(suspects_, {});
  if (!reachable && current_.has_value() && !suspects.empty()) {
    ReportDeath(suspects, now);
  }
  if (std::exchange(probe_outdated_, false)) return false;
  SetReachable(reachable);
  return down_ && current_.has_value();
}

bool UpstreamWatch::IsCurrent(const UpstreamAnnouncement& upstream) const {
  return current_.has_value() && upstream.id == current_->id &&
         upstream.started_at_ms == current_->started_at_ms &&
         upstream.address == current_->address;
}

bool UpstreamWatch::IsReplaced(const UpstreamAnnouncement& upstream) const {
  return replaced_.has_value() && upstream.id == replaced_->id &&
         upstream.started_at_ms == replaced_->started_at_ms;
}

void UpstreamWatch::SetReachable(bool reachable) {
  down_ = !reachable;
  if (reachable) down_notified_ = false;
  if (!down_ || !current_.has_value()) return;
  if (!std::exchange(down_notified_, true)) {
    parts_.listener.OnUpstreamDown(*current_);
  }
}

void UpstreamWatch::ReportDeath(const std::vector<Digest>& running,
                                Instant now) {
  parts_.metrics.CounterOf("upstream_deaths_total", "").Add();
  RunReporter::LogDeath(running.size());
  parts_.listener.OnSuspicions(current_->service,
                               parts_.quarantine.OnUpstreamDeath(running, now));
}

}  // namespace hibiscusglade
