#ifndef HIBISCUSGLADE_ROLLOUTS_TYPES_ROLLOUT_H_
#define HIBISCUSGLADE_ROLLOUTS_TYPES_ROLLOUT_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hibiscusglade {

enum class RolloutStage : uint8_t {
  kRunning = 0,
  kCompleted = 1,
  kRolledBack = 2,
};

/// @return the name used in logs and by the operators' API.
inline const char* NameOf(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kRunning:
      return "running";
    case RolloutStage::kCompleted:
      return "completed";
    case RolloutStage::kRolledBack:
      break;
  }
  return "rolled_back";
}

/// State of the last rollout of a service, as recorded in the replicated log.
struct Rollout {
  std::string service;
  std::string target_version;  ///< Of the upstreams' software.
  RolloutStage stage = RolloutStage::kRunning;
  /// Share of the service's requests that the target version gets.
  uint32_t share_permille = 0;
  uint64_t order = 0;         ///< Number of the order; rises in the log.
  uint64_t step = 0;          ///< Number of the step of this order.
  int64_t ordered_at_ms = 0;  ///< Unix time.
  Duration duration{};        ///< Until it has to be completed.
  std::string reason;         ///< Of the last step.
  /// Upstreams of other versions get no new requests; once nothing runs there
  /// the rollout may be completed.
  bool closes_others = false;
  /// Versions of those upstreams, set together with `closes_others`. Versions
  /// that come after the rollout are served as before it.
  std::vector<std::string> replaced_versions;

  friend bool operator==(const Rollout&, const Rollout&) = default;
};

/// @return whether `a` is a later state of the same service than `b`.
inline bool IsLater(const Rollout& a, const Rollout& b) {
  return a.order != b.order ? a.order > b.order : a.step > b.step;
}

/// @return whether upstreams of a version get no new requests at all.
inline bool IsClosed(const Rollout& rollout, const std::string& version) {
  if (rollout.stage == RolloutStage::kRolledBack) {
    return version == rollout.target_version;
  }
  return rollout.closes_others &&
         std::ranges::find(rollout.replaced_versions, version) !=
             rollout.replaced_versions.end();
}

/// The last rollouts by service.
using RolloutMap = std::map<std::string, Rollout>;

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROLLOUTS_TYPES_ROLLOUT_H_
