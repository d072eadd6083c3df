#ifndef HIBISCUSGLADE_ADMISSION_QUARANTINE_H_
#define HIBISCUSGLADE_ADMISSION_QUARANTINE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"

namespace hibiscusglade {

/// Whether a request may run, seen from the upstreams it may have killed.
enum class QuarantineVerdict {
  kClear,    ///< Run it.
  kAlone,    ///< Suspected: run it while nothing else runs.
  kRefused,  ///< Condemned: do not run it.
};

/// A suspicion to tell other daemons of.
struct QuarantineNews {
  Digest fingerprint = 0;
  uint32_t blames = 0;
  Duration expires_in{};

  friend bool operator==(const QuarantineNews&,
                         const QuarantineNews&) = default;
};

/// Keeps count of requests that were running when upstreams died.
class Quarantine {
 public:
  virtual ~Quarantine() = default;

  virtual QuarantineVerdict Judge(Digest fingerprint, Instant now) = 0;

  /// The upstream died while these requests ran.
  /// @return what to tell other daemons.
  virtual std::vector<QuarantineNews> OnUpstreamDeath(
      const std::vector<Digest>& running, Instant now) = 0;

  /// A suspected request ended without a death.
  virtual void OnSurvived(Digest fingerprint, Instant now) = 0;

  virtual void OnNews(const QuarantineNews& news, Instant now) = 0;
};

std::unique_ptr<Quarantine> MakeQuarantine();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_QUARANTINE_H_
