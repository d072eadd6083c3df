#include "owner/internal/upstream_death_detector.h"

#include <string>

#include "base/log.h"

namespace hibiscusglade {
namespace {

/// Time in which all connections of a dead process are reported as lost.
constexpr Duration kLossWindow = std::chrono::milliseconds(30);

}  // namespace

void UpstreamDeathDetector::OnConnectionLost(RunId run, Digest fingerprint,
                                             const std::set<RunId>& others,
                                             Instant now) {
  if (lost_runs_.empty()) {
    first_loss_ = now;
    remaining_ = others;
  }
  remaining_.erase(run);
  lost_runs_[run] = fingerprint;
}

void UpstreamDeathDetector::OnRunEnded(RunId run) {
  if (!remaining_.contains(run)) return;
  LogVerdict("a run ended well");
  Clear();
}

std::vector<Digest> UpstreamDeathDetector::TakeSuspects(Instant now) {
  if (lost_runs_.empty() || now - first_loss_ < kLossWindow) return {};
  std::vector<Digest> fingerprints;
  LogVerdict(remaining_.empty() ? "probe" : "runs are left");
  if (remaining_.empty()) {
    for (const auto& [run, fingerprint] : lost_runs_) {
      fingerprints.push_back(fingerprint);
    }
  }
  Clear();
  return fingerprints;
}

void UpstreamDeathDetector::LogVerdict(const char* verdict) const {
  Log(LogLevel::kInfo, "owner", "Lost connections were examined.",
      {{"lost", std::to_string(lost_runs_.size())},
       {"left", std::to_string(remaining_.size())},
       {"verdict", verdict}});
}

void UpstreamDeathDetector::Clear() {
  remaining_.clear();
  lost_runs_.clear();
}

}  // namespace hibiscusglade
