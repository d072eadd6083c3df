#include "distribution/internal/ask_schedule.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// Rounds before the time between them starts to grow.
constexpr size_t kQuickRounds = 8;
constexpr Duration kMaxInterval = std::chrono::seconds(4);
/// While its relays answer, a daemon asks past its failure domain in one round
/// of this many.
constexpr uint64_t kRoundsPerAskPastDomain = 8;

}  // namespace

std::vector<AskScope> AskSchedule::NextRound(bool relay, Instant now) {
  if (rounds_ == 0) {
    relays_silent_ = true;
  } else if (now < next_round_) {
    return {};
  }
  std::vector<AskScope> scopes;
  if (!relay) scopes.push_back(AskScope::kOwnRelays);
  if (relay || relays_silent_) scopes.push_back(AskScope::kOwnDomain);
  if (AsksPastDomain(relay)) {
    scopes.push_back(rounds_past_domain_++ % 2 == 0 ? AskScope::kReplicas
                                                    : AskScope::kOtherDomains);
  }
  ++rounds_;
  const auto factor =
      static_cast<int64_t>(rounds_ > kQuickRounds ? rounds_ - kQuickRounds : 1);
  const Duration interval = std::min(interval_ * factor, kMaxInterval);
  // Jittered, as many daemons begin a series at the same time.
  next_round_ =
      now +
      Duration(static_cast<int64_t>(static_cast<double>(interval.count()) *
                                    (0.75 + 0.5 * random_.Fraction())));
  return scopes;
}

bool AskSchedule::AsksPastDomain(bool relay) {
  if (relay) return true;
  if (rounds_ == 0) return false;
  return relays_silent_ || random_.Below(kRoundsPerAskPastDomain) == 0;
}

}  // namespace hibiscusglade
