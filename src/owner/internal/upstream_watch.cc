#include "owner/internal/upstream_watch.h"

#include <utility>
#include <vector>

#include "base/log.h"

namespace hibiscusglade {
namespace {

/// Interval between probes of an upstream that is down.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

}  // namespace

void UpstreamWatch::Set(const std::optional<UpstreamAnnouncement>& upstream,
                        const std::set<RunId>& running, Instant now) {
  if (!upstream.has_value() || IsReplaced(*upstream)) {
    current_.reset();
    return;
  }
  replaced_.reset();
  if (current_.has_value() && !IsSameProcess(*upstream)) {
    OnDeath("another process", running, now);
  }
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

void UpstreamWatch::OnConnectionLost(RunId run, Digest fingerprint,
                                     const std::set<RunId>& running,
                                     Instant now) {
  if (death_detector_.OnConnectionLost(run, fingerprint, running, now)) {
    parts_.listener.OnSuspicions(
        service_of_dead_,
        parts_.quarantine.OnUpstreamDeath({fingerprint},
                                          death_detector_.Candidates(), now));
  }
}

void UpstreamWatch::Examine(Instant now) {
  if (!death_detector_.Examining()) return;
  if (!current_.has_value() || Drains()) {
    EndExamination("it leaves", now);
  } else if (death_detector_.NeedsProof(now) &&
             parts_.upstream.IsConnected(current_->address)) {
    EndExamination("open connection", now);
  }
}

void UpstreamWatch::SendProbe(Instant now) {
  if (probing_ || !current_.has_value()) return;
  const bool examines = death_detector_.NeedsProof(now);
  if (!examines && (!down_ || now < next_probe_)) return;
  probing_ = true;
  probe_examines_ = examines;
  next_probe_ = now + kProbeInterval;
  parts_.upstream.Probe(current_->address);
}

bool UpstreamWatch::OnProbed(bool reachable, const std::set<RunId>& running,
                             Instant now) {
  probing_ = false;
  if (std::exchange(probe_outdated_, false)) return false;
  if (!reachable && current_.has_value()) {
    OnDeath("no connection accepted", running, now);
  } else if (reachable && probe_examines_) {
    EndExamination("accepted connection", now);
  }
  SetReachable(reachable);
  return down_ && current_.has_value();
}

bool UpstreamWatch::IsSameProcess(const UpstreamAnnouncement& upstream) const {
  return current_.has_value() && upstream.id == current_->id &&
         upstream.started_at_ms == current_->started_at_ms;
}

bool UpstreamWatch::IsCurrent(const UpstreamAnnouncement& upstream) const {
  return IsSameProcess(upstream) && upstream.address == current_->address;
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

void UpstreamWatch::EndExamination(std::string_view evidence, Instant now) {
  if (!death_detector_.Examining()) return;
  death_detector_.OnAlive();
  reporter_.LogAlive(evidence, now);
}

void UpstreamWatch::OnDeath(std::string_view evidence,
                            const std::set<RunId>& running, Instant now) {
  if (Drains()) {
    // One that leaves may end before all that it runs has been answered.
    EndExamination("it leaves", now);
    return;
  }
  service_of_dead_ = current_->service;
  const DeathSuspects suspects = death_detector_.OnDeath(running, now);
  if (suspects.fingerprints.empty()) return;
  parts_.metrics.CounterOf("upstream_deaths_total", "").Add();
  RunReporter::LogDeath(evidence, suspects);
  parts_.listener.OnSuspicions(
      current_->service, parts_.quarantine.OnUpstreamDeath(
                             suspects.fingerprints, suspects.candidates, now));
}

}  // namespace hibiscusglade
