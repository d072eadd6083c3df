#ifndef HIBISCUSGLADE_ROLLOUTS_ROLLOUT_TALLY_H_
#define HIBISCUSGLADE_ROLLOUTS_ROLLOUT_TALLY_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "base/clock.h"
#include "rollouts/types/rollout.h"

namespace hibiscusglade {

/// Classes of latency, each twice as wide as the one before: the first ends at
/// 4 ms, the last begins at 4 s.
constexpr size_t kLatencyClasses = 12;
size_t LatencyClassOf(Duration latency);

/// How requests have ended.
struct OutcomeCounts {
  uint64_t requests = 0;
  uint64_t failures = 0;
  /// Answered requests by class of latency, except for those to upstreams that
  /// had just begun to get requests.
  std::array<uint64_t, kLatencyClasses> latencies{};

  OutcomeCounts& operator+=(const OutcomeCounts& other);
  /// @param earlier an earlier state of the same counts.
  OutcomeCounts Since(const OutcomeCounts& earlier) const;

  friend bool operator==(const OutcomeCounts&, const OutcomeCounts&) = default;
};

/// What is counted apart. `instance` is empty for the other versions.
struct OutcomeKey {
  std::string route;
  bool target = false;
  std::string instance;

  friend auto operator<=>(const OutcomeKey&, const OutcomeKey&) = default;
};

using OutcomeMap = std::map<OutcomeKey, OutcomeCounts>;

/// One attempt that has ended at an entry.
struct RolloutOutcome {
  std::string service;
  uint64_t order = 0;
  std::string route;
  bool target = false;
  std::string instance;
  bool failed = false;
  Duration latency{};
};

/// The state of the upstream beside this daemon, for a rollout's completion.
struct LocalRuns {
  bool closed = false;  ///< Its owner takes no new requests.
  uint32_t open = 0;    ///< Requests that it has taken and not ended.

  friend bool operator==(const LocalRuns&, const LocalRuns&) = default;
};

/// What this daemon has seen of running rollouts. The request thread fills it,
/// the control thread reports it. Thread-safe. Costs nothing while no rollout
/// runs.
class RolloutTally {
 public:
  void OnEnded(const RolloutOutcome& outcome, Instant now);

  /// Load pattern: a version fails most of its requests, and the leader of the
  /// log can't be reached, or is a second away.
  /// @return whether this entry has seen the target version fail so often since
  /// the step, and the others so seldom, that it sends it nothing more before
  /// the next step.
  bool Brakes(const Rollout& rollout) const;

  /// @return the counts since the order was first seen here.
  OutcomeMap CountsOf(const std::string& service, uint64_t order) const;

  void SetLocalRuns(const LocalRuns& runs);
  LocalRuns Local() const;

 private:
  struct Service {
    uint64_t order = 0;
    OutcomeMap counts;
    std::map<std::string, Instant> first_ended;  ///< By target instance.
    uint64_t step = 0;  ///< Since which the brake counts.
    OutcomeCounts target;
    OutcomeCounts others;
  };

  mutable std::mutex mutex_;
  mutable std::map<std::string, Service> services_;
  LocalRuns local_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROLLOUTS_ROLLOUT_TALLY_H_
