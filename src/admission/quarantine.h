#ifndef HIBISCUSGLADE_ADMISSION_QUARANTINE_H_
#define HIBISCUSGLADE_ADMISSION_QUARANTINE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"

namespace hibiscusglade {

/// Whether a request may run, given the upstream deaths it is blamed for.
enum class QuarantineDecision {
  kRun,       ///< Not a suspect.
  kRunAlone,  ///< A suspect: run it while nothing else runs.
  kRefuse,    ///< Quarantined: do not run it.
};

/// A suspicion, as sent to other daemons.
struct QuarantineNotice {
  Digest fingerprint = 0;
  uint32_t blames = 0;  ///< Upstream deaths counted against the request.
  Duration expires_in{};

  friend bool operator==(const QuarantineNotice&,
                         const QuarantineNotice&) = default;
};

/// Counts, per request fingerprint, the upstream deaths during its runs. A
/// request that is blamed for enough of them is refused.
class Quarantine {
 public:
  virtual ~Quarantine() = default;

  virtual QuarantineDecision Decide(Digest fingerprint, Instant now) = 0;

  /// The upstream died.
  /// @param suspects fingerprints of requests that may have caused it.
  /// @param candidates number of runs among which the cause is, with those of
  /// the suspects.
  /// @return the resulting suspicions, for other daemons.
  virtual std::vector<QuarantineNotice> OnUpstreamDeath(
      const std::vector<Digest>& suspects, size_t candidates, Instant now) = 0;

  /// A run of the request ended and the upstream is alive. Clears a suspicion
  /// that has not led to quarantine.
  virtual void OnRunSurvived(Digest fingerprint, Instant now) = 0;

  /// Another daemon has reported a suspicion.
  /// @return what is known here, if that is more.
  virtual std::optional<QuarantineNotice> OnNotice(
      const QuarantineNotice& notice, Instant now) = 0;

  /// @return the suspicions that have not expired, those with most blames
  /// first; not more than a message may carry.
  virtual std::vector<QuarantineNotice> Suspicions(Instant now) = 0;
};

std::unique_ptr<Quarantine> MakeQuarantine();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_QUARANTINE_H_
