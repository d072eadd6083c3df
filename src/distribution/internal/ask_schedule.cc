#include "distribution/internal/ask_schedule.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// Rounds before the time between them starts to grow, while nobody answers.
constexpr size_t kQuickRounds = 8;
constexpr Duration kMaxInterval = std::chrono::seconds(4);
/// While only relays are asked. Short enough to notice soon that they have
/// fallen silent.
constexpr Duration kMaxRelayInterval = std::chrono::milliseconds(1500);
/// Relays that were not heard from for more rounds than this are silent.
constexpr size_t kMaxRoundsWithoutRelay = 2;
/// While its relays answer, a daemon asks past its failure domain in one round
/// of this many.
constexpr uint64_t kRoundsPerAskPastDomain = 8;

}  // namespace

std::vector<AskScope> AskSchedule::NextRound(bool relay, Instant now) {
  if (rounds_ > 0 && now < next_round_) return {};
  UpdateRelaysSilent();
  std::vector<AskScope> scopes;
  if (!relay) scopes.push_back(AskScope::kOwnRelays);
  // A relay asks replicas only at first: in a domain without a replica it asks
  // all the time, and each instance asked is a connection.
  if (relay ? rounds_ > 0 : relays_silent_) {
    scopes.push_back(AskScope::kOwnDomain);
  }
  if (AsksPastDomain(relay)) {
    if (rounds_ == 0) rounds_past_domain_ = 0;
    scopes.push_back(rounds_past_domain_++ % 2 == 0 ? AskScope::kReplicas
                                                    : AskScope::kOtherDomains);
  }
  ++rounds_;
  // Jittered, as many daemons begin a series at the same time.
  next_round_ = now + Duration(static_cast<int64_t>(
                          static_cast<double>(Interval(relay).count()) *
                          (0.75 + 0.5 * random_.Fraction())));
  return scopes;
}

void AskSchedule::UpdateRelaysSilent() {
  if (rounds_ == 0) {
    relays_silent_ = true;
    rounds_without_relay_ = 0;
    return;
  }
  if (++rounds_without_relay_ <= kMaxRoundsWithoutRelay || relays_silent_) {
    return;
  }
  relays_silent_ = true;
  rounds_ = 1;
}

bool AskSchedule::AsksPastDomain(bool relay) {
  if (relay) return true;
  if (rounds_ == 0) return false;
  return relays_silent_ || random_.Below(kRoundsPerAskPastDomain) == 0;
}

Duration AskSchedule::Interval(bool relay) const {
  if (!relay && !relays_silent_) {
    return std::min(interval_ * static_cast<int64_t>((rounds_ + 1) / 2),
                    kMaxRelayInterval);
  }
  const size_t factor = rounds_ > kQuickRounds ? rounds_ - kQuickRounds : 1;
  return std::min(interval_ * static_cast<int64_t>(factor), kMaxInterval);
}

}  // namespace hibiscusglade
