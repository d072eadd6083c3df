#ifndef HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_DEATH_DETECTOR_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_DEATH_DETECTOR_H_

#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"
#include "calls/call_links.h"

namespace hibiscusglade {

/// Requests that may have caused the death of an upstream.
struct DeathSuspects {
  std::vector<Digest> fingerprints;
  /// Runs among which the cause is: those of the fingerprints, and those whose
  /// outcome was not known yet.
  size_t candidates = 0;

  friend bool operator==(const DeathSuspects&, const DeathSuspects&) = default;
};

/// Keeps which runs may have caused the death of an upstream. A lost connection
/// is the reason to examine whether it died; a refused connection or another
/// process in its place proves it. Other runs prove nothing: what a process had
/// written before its death is still read from its connections, for as long as
/// callers take to receive it.
class UpstreamDeathDetector {
 public:
  /// @param run lost its connection.
  /// @param running runs under way, with or without the given one.
  /// @return whether the run was under way at a death that is already proved:
  /// it is a suspect, and nothing is to be examined.
  bool OnConnectionLost(RunId run, Digest fingerprint,
                        const std::set<RunId>& running, Instant now);

  /// A run ended. If its connection was not lost, it caused no death.
  void OnRunEnded(RunId run);

  /// @return whether it is being examined if the upstream died.
  bool Examining() const { return first_loss_.has_value(); }

  /// @return whether a proof is needed: all other connections that a death
  /// closes at once have been reported as lost.
  bool NeedsProof(Instant now) const;

  /// The upstream is alive. This ends the examination. Lost runs are kept for a
  /// while, as a process that is ending may still seem alive.
  void OnAlive() { first_loss_.reset(); }

  /// The upstream has died. This ends the examination.
  /// @param running runs under way.
  /// @return the suspects; without a fingerprint when no connection was lost
  /// lately.
  DeathSuspects OnDeath(const std::set<RunId>& running, Instant now);

  /// @return runs among which the cause of the last death is.
  size_t Candidates() const { return candidates_; }

 private:
  struct LostRun {
    RunId run = 0;
    Digest fingerprint = 0;
    Instant at;
  };

  void DropOldLosses(Instant now);

  std::optional<Instant> first_loss_;  ///< Of the examination.
  /// Runs under way at the first loss that have not ended.
  std::set<RunId> remaining_;
  std::vector<LostRun> lost_runs_;
  /// Runs under way at the last death whose outcome is not known yet.
  std::set<RunId> undecided_;
  size_t candidates_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_DEATH_DETECTOR_H_
