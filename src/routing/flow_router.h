#ifndef HIBISCUSGLADE_ROUTING_FLOW_ROUTER_H_
#define HIBISCUSGLADE_ROUTING_FLOW_ROUTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "routing/types/flow_plan.h"

namespace hibiscusglade {

/// What one entry asks of a service.
struct EntryDemand {
  std::string service;
  double rate = 0;  ///< First attempts of calls, per second.
  double bytes_per_request = 0;
  bool pressed = false;  ///< An upstream was nearly full or refused lately.

  friend bool operator==(const EntryDemand&, const EntryDemand&) = default;
};

/// Measures the demand of one entry, and splits it by the plans of its failure
/// domain. Entries begin their turns at random, so that their sum is the
/// planned flow at any time. Single-threaded.
class FlowRouter {
 public:
  explicit FlowRouter(uint64_t seed) : random_(seed) {}

  /// A call chooses its first upstream.
  void OnCall(const std::string& service, uint64_t body_bytes);

  void OnAnswerSize(const std::string& service, uint64_t bytes);

  /// An upstream of the service is more than 0.6 full, refused, or there is
  /// none in the own failure domain.
  void OnPressure(const std::string& service, Instant now);

  void SetPlan(const std::string& service, FlowPlan plan, Instant now);

  /// @return the plan of a service; nullptr while there is none that is not out
  /// of date.
  const FlowPlan* PlanOf(const std::string& service, Instant now) const;

  /// @return the failure domain that the plan sends the next call to; empty:
  /// the own one.
  std::string NextDomain(const std::string& service, Instant now);

  /// Ends a window of measurement.
  /// @return the demand for all services that calls have asked for lately.
  std::vector<EntryDemand> MeasureDemand(Instant now);

 private:
  struct Service {
    uint32_t calls = 0;  ///< In this window.
    double rate = 0;
    double body_bytes = 0;  ///< Moving averages.
    double answer_bytes = 0;
    Instant pressed_at;
    FlowPlan plan;
    Instant planned_at;
    std::map<std::string, double> credits;  ///< Calls due, by domain.
  };

  Random random_;
  Instant window_start_;
  std::map<std::string, Service> services_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_FLOW_ROUTER_H_
