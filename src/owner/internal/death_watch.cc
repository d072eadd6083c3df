#include "owner/internal/death_watch.h"

namespace hibiscusglade {
namespace {

/// Within this time all connections of a dead process are seen as lost.
constexpr Duration kGrace = std::chrono::milliseconds(30);

}  // namespace

void DeathWatch::OnLost(RunId run, Digest fingerprint,
                        const std::set<RunId>& others, Instant now) {
  if (lost_.empty()) {
    since_ = now;
    left_ = others;
  }
  left_.erase(run);
  lost_[run] = fingerprint;
}

void DeathWatch::OnEnded(RunId run) {
  if (left_.contains(run)) Clear();
}

std::vector<Digest> DeathWatch::TakeDeath(Instant now) {
  if (lost_.empty() || now - since_ < kGrace) return {};
  std::vector<Digest> fingerprints;
  if (left_.empty()) {
    for (const auto& [run, fingerprint] : lost_) {
      fingerprints.push_back(fingerprint);
    }
  }
  Clear();
  return fingerprints;
}

void DeathWatch::Clear() {
  left_.clear();
  lost_.clear();
}

}  // namespace hibiscusglade
