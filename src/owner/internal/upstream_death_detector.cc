#include "owner/internal/upstream_death_detector.h"

namespace hibiscusglade {
namespace {

/// Time in which the connections of a dead process are reported as lost, apart
/// from those with bytes left to read.
constexpr Duration kLossWindow = std::chrono::milliseconds(30);
/// How long a lost connection may be due to a death that is proved later.
constexpr Duration kLossMemory = std::chrono::seconds(1);

}  // namespace

bool UpstreamDeathDetector::OnConnectionLost(RunId run, Digest fingerprint,
                                             const std::set<RunId>& running,
                                             Instant now) {
  if (undecided_.erase(run) > 0) return true;
  if (!Examining()) {
    first_loss_ = now;
    remaining_ = running;
  }
  remaining_.erase(run);
  DropOldLosses(now);
  lost_runs_.push_back({run, fingerprint, now});
  return false;
}

void UpstreamDeathDetector::OnRunEnded(RunId run) {
  remaining_.erase(run);
  undecided_.erase(run);
}

bool UpstreamDeathDetector::NeedsProof(Instant now) const {
  return Examining() && now - *first_loss_ >= kLossWindow;
}

DeathSuspects UpstreamDeathDetector::OnDeath(const std::set<RunId>& running,
                                             Instant now) {
  DropOldLosses(now);
  // Whether it is still dead is asked again and again.
  if (lost_runs_.empty() && !undecided_.empty()) {
    first_loss_.reset();
    return {};
  }
  undecided_ = Examining() ? remaining_ : running;
  DeathSuspects suspects;
  for (const LostRun& lost : lost_runs_) {
    undecided_.erase(lost.run);
    suspects.fingerprints.push_back(lost.fingerprint);
  }
  candidates_ = lost_runs_.size() + undecided_.size();
  suspects.candidates = candidates_;
  first_loss_.reset();
  remaining_.clear();
  lost_runs_.clear();
  return suspects;
}

void UpstreamDeathDetector::DropOldLosses(Instant now) {
  std::erase_if(lost_runs_, [now](const LostRun& lost) {
    return now - lost.at > kLossMemory;
  });
}

}  // namespace hibiscusglade
