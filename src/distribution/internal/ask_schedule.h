#ifndef HIBISCUSGLADE_DISTRIBUTION_INTERNAL_ASK_SCHEDULE_H_
#define HIBISCUSGLADE_DISTRIBUTION_INTERNAL_ASK_SCHEDULE_H_

#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "distribution/ask_directory.h"

namespace hibiscusglade {

/// Decides when to ask for the latest version, and where. A relay asks past its
/// failure domain at once, on behalf of the domain. The others ask the relays,
/// and everywhere when these stay silent. While the relays answer they ask
/// elsewhere rarely, so that a mesh whose replicas have no leader does not open
/// a connection from each daemon to each replica.
class AskSchedule {
 public:
  /// @param interval between the first rounds; later ones are further apart.
  AskSchedule(Duration interval, Random& random)
      : interval_(interval), random_(random) {}

  /// Ends a series of rounds: the latest version is known.
  void Reset() { rounds_ = 0; }

  /// @return whether a series of rounds is under way.
  bool Asking() const { return rounds_ > 0; }

  /// Records a notice of a relay of the own failure domain.
  void OnRelayHeard() {
    relays_silent_ = false;
    rounds_without_relay_ = 0;
  }

  /// @return the scopes to ask in now; empty when no round is due.
  /// @param relay whether this daemon is a relay of its failure domain.
  std::vector<AskScope> NextRound(bool relay, Instant now);

 private:
  /// Takes relays for silent that were heard from earlier in the series only.
  void UpdateRelaysSilent();

  bool AsksPastDomain(bool relay);

  /// @return the time until the next round.
  Duration Interval(bool relay) const;

  Duration interval_;
  Random& random_;
  size_t rounds_ = 0;
  size_t rounds_past_domain_ = 0;
  bool relays_silent_ = true;
  size_t rounds_without_relay_ = 0;
  Instant next_round_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_INTERNAL_ASK_SCHEDULE_H_
