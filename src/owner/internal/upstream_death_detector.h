#ifndef HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_DEATH_DETECTOR_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_DEATH_DETECTOR_H_

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"
#include "calls/call_links.h"

namespace hibiscusglade {

/// Distinguishes the death of an upstream from the loss of single connections:
/// when an upstream dies, all runs that were under way at the first loss lose
/// their connections within a short time. The owner then confirms the death by
/// a probe, whose connection must be refused.
class UpstreamDeathDetector {
 public:
  /// @param run lost its connection.
  /// @param others runs under way, with or without the given one.
  void OnConnectionLost(RunId run, Digest fingerprint,
                        const std::set<RunId>& others, Instant now);

  /// A run ended without losing its connection. If it was under way at the
  /// first loss, the upstream did not die then.
  void OnRunEnded(RunId run);

  /// @return whether no lost connection is being examined.
  bool Idle() const { return lost_runs_.empty(); }

  /// @return fingerprints of the runs during which the upstream seems to have
  /// died; empty while this is undecided and when it did not die.
  std::vector<Digest> TakeSuspects(Instant now);

 private:
  void LogVerdict(const char* verdict) const;
  void Clear();

  Instant first_loss_;
  std::set<RunId> remaining_;  ///< Runs under way at the first loss, not ended.
  std::map<RunId, Digest> lost_runs_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_DEATH_DETECTOR_H_
