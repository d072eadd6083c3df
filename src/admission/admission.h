#ifndef HIBISCUSGLADE_ADMISSION_ADMISSION_H_
#define HIBISCUSGLADE_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "base/clock.h"
#include "calls/types/call_types.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Identifies one request for a slot; the owner also uses it as the RunId.
using SlotRequestId = uint64_t;

/// A request for a slot of the upstream.
struct SlotRequest {
  SlotRequestId id = 0;
  std::string request_class;
  std::string caller;
  Instant deadline;
  /// When the latency objective ends; zero: none. A request that cannot be
  /// answered by then is not queued: it gets a free slot or is refused.
  Instant objective;
  Duration expected{};        ///< Expected service time; zero: not known.
  std::string customer = {};  ///< Empty: none.
  /// In place of the priority of the class.
  std::optional<uint32_t> priority = {};
  /// Whether an upstream calls, for a request that it runs.
  bool begun = false;

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// A refused request; it was not run.
struct SlotRefusal {
  SlotRequestId id = 0;
  std::error_code code;
  Duration retry_after{};

  friend bool operator==(const SlotRefusal&, const SlotRefusal&) = default;
};

/// Requests admitted and refused as the result of one event.
struct AdmissionEffects {
  std::vector<SlotRequestId> admitted;  ///< Start now, in this order.
  std::vector<SlotRefusal> refused;

  friend bool operator==(const AdmissionEffects&,
                         const AdmissionEffects&) = default;
};

/// Limits that one owner applies.
struct AdmissionConfig {
  uint32_t slots = 0;
  uint32_t max_queue = 0;
  std::map<std::string, ClassConfig> classes;
  Duration ramp{};        ///< Until a started upstream has all its slots.
  bool draining = false;  ///< The upstream accepts no new work.

  friend bool operator==(const AdmissionConfig&,
                         const AdmissionConfig&) = default;
};

/// Decides which requests of one upstream are admitted, queued or refused. All
/// requests reach the upstream through its owner, so the count of used slots is
/// exact.
class Admission {
 public:
  virtual ~Admission() = default;

  virtual AdmissionEffects OnRequest(const SlotRequest& request,
                                     Instant now) = 0;

  /// A running request has ended.
  /// @param service_time time in the upstream, without the queue; zero when
  /// the request was cancelled or never started, so that nothing is measured.
  virtual AdmissionEffects OnFinished(SlotRequestId id, Duration service_time,
                                      Instant now) = 0;

  /// Removes a request from the queue without reporting a refusal.
  /// @return whether the request was queued.
  virtual bool CancelQueued(SlotRequestId id) = 0;

  /// Refuses requests that have been queued for too long and fills free slots.
  virtual AdmissionEffects OnTick(Instant now) = 0;

  virtual AdmissionEffects Configure(const AdmissionConfig& config,
                                     Instant now) = 0;

  /// Refuses all queued and all future requests as not run; a later Configure()
  /// does not undo this.
  virtual AdmissionEffects Drain(Instant now) = 0;

  /// @param request_class class whose median service time is reported; it is
  /// zero until a request of the class has finished.
  /// @return the current load of the upstream.
  virtual LoadReport Load(const std::string& request_class) const = 0;
};

std::unique_ptr<Admission> MakeAdmission();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_ADMISSION_H_
