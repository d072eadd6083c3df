#include "admission/suspicion_inquiry.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// Those asked at once, so that one that was just restarted itself, or can't be
/// reached, is not the only one.
constexpr size_t kPeersPerRound = 3;
constexpr Duration kMaxHold = std::chrono::milliseconds(300);
/// Interval at which a daemon that knows of no other looks for one.
constexpr Duration kLookInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxPause = std::chrono::seconds(30);

}  // namespace

void SuspicionInquiry::Begin(Instant now) {
  *this = {};
  open_ = true;
  next_round_ = now;
  pause_ = kMaxHold;
}

std::vector<std::string> SuspicionInquiry::ToAsk(
    const std::vector<std::string>& peers, Instant now) {
  std::vector<std::string> chosen;
  if (answered_) {
    End();
    return chosen;
  }
  const auto is_new = [this](const std::string& peer) {
    return !asked_.contains(peer);
  };
  if (std::ranges::none_of(peers, is_new)) asked_.clear();
  for (const std::string& peer : peers) {
    if (chosen.size() < kPeersPerRound && is_new(peer)) chosen.push_back(peer);
  }
  if (chosen.empty()) {
    next_round_ = now + kLookInterval;
    return chosen;
  }
  if (hold_until_ == Instant{}) hold_until_ = now + kMaxHold;
  next_round_ = now + pause_;
  pause_ = std::min(2 * pause_, kMaxPause);
  unanswered_.insert(chosen.begin(), chosen.end());
  asked_.insert(chosen.begin(), chosen.end());
  return chosen;
}

void SuspicionInquiry::OnAnswer(const std::string& peer) {
  if (unanswered_.erase(peer) == 0) return;
  answered_ = true;
  if (unanswered_.empty()) End();
}

}  // namespace hibiscusglade
