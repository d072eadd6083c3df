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

/// Probes peers in turn; a peer that does not answer is probed through others
/// before it counts as silent.
class FailureDetector {
 public:
  FailureDetector(const MembershipConfig& config, Random& random)
      : config_(config), random_(random) {}

  /// Probes a peer. One that answers neither `helpers` nor this daemon is
  /// returned by TakeSilent().
  /// @param helpers may be empty.
  void Probe(const ProbeTarget& target, std::vector<ProbeTarget> helpers,
             Instant now, MembershipEffects& effects);

  void OnTick(Instant now, MembershipEffects& effects);

  void OnIndirectProbe(const IndirectProbeMessage& message, Instant now,
                       MembershipEffects& effects);

  void OnAck(const ProbeAckMessage& ack, MembershipEffects& effects);

  /// @return instances found silent since the last call.
  std::vector<std::string> TakeSilent();

 private:
  static constexpr size_t kHelpers = 3;

  struct Open {
    ProbeTarget target;
    std::vector<ProbeTarget> helpers;
    Instant deadline;
    bool indirect = false;      ///< Helpers have been asked.
    std::string asker_address;  ///< Set when probed for another daemon.
    uint64_t asker_sequence = 0;
  };

  void AskHelpers(uint64_t sequence, Open& open, MembershipEffects& effects);

  const MembershipConfig& config_;
  Random& random_;
  std::map<uint64_t, Open> open_;
  std::vector<std::string> silent_;
  uint64_t last_sequence_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_FAILURE_DETECTOR_H_
