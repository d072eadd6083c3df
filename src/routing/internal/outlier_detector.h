#ifndef HIBISCUSGLADE_ROUTING_INTERNAL_OUTLIER_DETECTOR_H_
#define HIBISCUSGLADE_ROUTING_INTERNAL_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "routing/types/route_table.h"
#include "routing/upstream_chooser.h"

namespace hibiscusglade {

/// Ejects upstreams that fail repeatedly or are slow compared with the others
/// of the same service, and ramps up their load once they are reinstated.
/// Single-threaded.
class OutlierDetector {
 public:
  /// @param service_time median time in the upstream, as reported by its owner;
  /// excludes the wait in the owner's queue.
  /// @param samples number of requests that it is the median of; zero when the
  /// owner does not report it.
  void OnServiceTime(const std::string& instance,
                     const std::string& request_class, Duration service_time,
                     uint32_t samples, Instant now);
  void OnOutcome(const std::string& instance, AttemptOutcome outcome,
                 Instant now);

  /// Compares the upstreams of one service, then ejects and reinstates them
  /// accordingly; does nothing within 50 ms of the last comparison.
  /// @param max_percent share of them that may be ejected.
  void Compare(const std::string& service,
               const std::vector<UpstreamTarget>& upstreams,
               uint32_t max_percent, Instant now);

  bool Ejected(const std::string& instance) const;

  /// @return the last reported service time of a class; zero when there is none
  /// from the last 5 s.
  Duration ServiceTimeOf(const std::string& instance,
                         const std::string& request_class, Instant now) const;

  /// To be called at each choice in which an ejected upstream is a candidate.
  /// @return whether this choice is to probe it; true for a small share of the
  /// choices.
  bool TryStartProbe(const std::string& instance, Instant now);

  /// @return share of its usual load that an upstream may get, in (0, 1]; below
  /// 1 only for a while after it was reinstated.
  double LoadShareOf(const std::string& instance, Instant now) const;

  EjectionCounts Counts() const { return counts_; }

 private:
  struct ServiceTime {
    Duration time{};
    uint32_t samples = 0;
    Instant at;
  };

  struct Health {
    std::map<std::string, ServiceTime> times;
    uint64_t incarnation = 0;
    uint32_t consecutive_failures = 0;
    Instant last_failure_at;
    bool ejected = false;
    Instant last_probe_at;
    uint32_t choices_since_probe = 0;
    Instant reinstated_at;
    double slowness = 1;  ///< Service time relative to the service's median.
  };

  void MeasureSlowness(const std::vector<UpstreamTarget>& upstreams,
                       Instant now);
  /// What is known of an earlier process says nothing about the next one.
  void NoteIncarnation(Health& health, uint64_t incarnation, Instant now);
  static void ExpireFailures(Health& health, Instant now);
  void Eject(Health& health, Instant now);
  void Reinstate(Health& health, Instant now);

  std::map<std::string, Health> health_;
  std::map<std::string, Instant> last_compared_;
  EjectionCounts counts_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_INTERNAL_OUTLIER_DETECTOR_H_
