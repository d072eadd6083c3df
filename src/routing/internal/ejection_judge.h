#ifndef HIBISCUSGLADE_ROUTING_INTERNAL_EJECTION_JUDGE_H_
#define HIBISCUSGLADE_ROUTING_INTERNAL_EJECTION_JUDGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "routing/types/route_table.h"
#include "routing/upstream_chooser.h"

namespace hibiscusglade {

/// Sets aside upstreams that are slow or fail, compared with the others of
/// the same service, and lets them return slowly. Single-threaded.
class EjectionJudge {
 public:
  /// @param service_time median time in the upstream, without queue.
  void OnServiceTime(const std::string& instance,
                     const std::string& request_class, Duration service_time,
                     Instant now);
  void OnOutcome(const std::string& instance, AttemptOutcome outcome,
                 Instant now);

  /// Compares the upstreams of one service; does nothing when they were
  /// compared a moment ago.
  /// @param max_percent share of them that may be set aside.
  void Compare(const std::string& service,
               const std::vector<UpstreamTarget>& upstreams,
               uint32_t max_percent, Instant now);

  bool Ejected(const std::string& instance) const;

  /// @return the last service time told for a class; zero if none is fresh.
  Duration TimeOf(const std::string& instance, const std::string& request_class,
                  Instant now) const;

  /// Takes the right to send one probe to an ejected upstream, for a small
  /// share of the choices. To be asked at each choice.
  bool TakeProbe(const std::string& instance, Instant now);

  /// @return share of its usual load that an upstream may get, in (0, 1].
  double ShareOf(const std::string& instance, Instant now) const;

  ChooserCounts Counts() const { return counts_; }

 private:
  struct ClassTime {
    Duration time{};
    Instant at;
  };

  struct Health {
    std::map<std::string, ClassTime> times;
    uint32_t failures = 0;  ///< One after the other.
    bool ejected = false;
    Instant last_probe;
    uint32_t passed = 0;  ///< Choices since the last probe.
    Instant returned;
    double slowness = 1;  ///< Against the median of the service.
  };

  void MeasureSlowness(const std::vector<UpstreamTarget>& upstreams,
                       Instant now);
  void Eject(Health& health, Instant now);
  void Return(Health& health, Instant now);

  std::map<std::string, Health> health_;
  std::map<std::string, Instant> compared_;
  ChooserCounts counts_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_INTERNAL_EJECTION_JUDGE_H_
