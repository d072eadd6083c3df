#ifndef HIBISCUSGLADE_OWNER_INTERNAL_DEATH_WATCH_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_DEATH_WATCH_H_

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"
#include "calls/call_links.h"

namespace hibiscusglade {

/// Tells an upstream's death from a single lost connection: all runs that
/// were under way at the first loss are lost within moments. A connect that
/// is refused must confirm it.
class DeathWatch {
 public:
  /// A run's connection was lost.
  /// @param others runs still under way.
  void OnLost(RunId run, Digest fingerprint, const std::set<RunId>& others,
              Instant now);

  /// A run ended otherwise: the upstream lived at that time.
  void OnEnded(RunId run);

  /// @return whether no loss waits for its verdict.
  bool Idle() const { return lost_.empty(); }

  /// @return what ran when the upstream seems to have died; empty when it
  /// lives or it is too early to say.
  std::vector<Digest> TakeDeath(Instant now);

 private:
  void Clear();

  Instant since_;
  std::set<RunId> left_;
  std::map<RunId, Digest> lost_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_DEATH_WATCH_H_
