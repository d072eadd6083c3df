#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_FAILURE_DETECTOR_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_FAILURE_DETECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/membership.h"

namespace hibiscusglade {

/// A peer that may be probed.
struct ProbeTarget {
  std::string instance;
  std::string address;

  friend bool operator==(const ProbeTarget&, const ProbeTarget&) = default;
};

/// Probes peers. A peer that does not answer is also probed indirectly, through
/// other peers, before it counts as unresponsive.
class FailureDetector {
 public:
  FailureDetector(const MembershipConfig& config, Random& random)
      : config_(config), random_(random) {}

  /// Probes a peer. A peer that answers neither this daemon nor one of
  /// `helpers` is returned by TakeUnresponsive().
  /// @param helpers peers that can be asked to probe the target; may be empty.
  void Probe(const ProbeTarget& target, std::vector<ProbeTarget> helpers,
             Instant now, MembershipEffects& effects);

  /// Handles probes past their deadline: first requests indirect probes, then
  /// reports the peer as unresponsive.
  void OnTick(Instant now, MembershipEffects& effects);

  /// Probes a peer for another daemon, which receives the answer.
  void OnIndirectProbe(const IndirectProbeMessage& message, Instant now,
                       MembershipEffects& effects);

  void OnAck(const ProbeAckMessage& ack, MembershipEffects& effects);

  /// @return whether an answer to a probe of this daemon's own is awaited.
  bool IsProbing(const std::string& instance) const;

  /// @return instances that became unresponsive since the last call.
  std::vector<std::string> TakeUnresponsive();

 private:
  static constexpr size_t kMaxHelpers = 3;

  struct PendingProbe {
    ProbeTarget target;
    std::vector<ProbeTarget> helpers;
    Instant deadline;
    bool helpers_asked = false;  ///< Indirect probes have been requested.
    std::string asker_address;   ///< Set when probed for another daemon.
    uint64_t asker_sequence = 0;
  };

  void RequestIndirectProbes(uint64_t sequence, PendingProbe& probe,
                             MembershipEffects& effects);

  const MembershipConfig& config_;
  Random& random_;
  std::map<uint64_t, PendingProbe> pending_;
  std::vector<std::string> unresponsive_;
  uint64_t last_sequence_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_FAILURE_DETECTOR_H_
