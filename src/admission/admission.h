#ifndef HIBISCUSGLADE_ADMISSION_ADMISSION_H_
#define HIBISCUSGLADE_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "base/clock.h"
#include "calls/types/call_types.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Number of one request in the owner's hands.
using Ticket = uint64_t;

/// A request that wants a slot of the upstream.
struct SlotRequest {
  Ticket ticket = 0;
  std::string request_class;
  std::string caller;
  Instant deadline;
  /// Until an answer is worth less. While others wait, a request that would be
  /// answered later is refused at once; zero: nothing is known of that.
  Instant objective;
  Duration expected{};  ///< Learned time in the upstream; zero if not known.

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// A request that was refused, and did not run.
struct SlotRefusal {
  Ticket ticket = 0;
  std::error_code code;
  Duration retry_after{};

  friend bool operator==(const SlotRefusal&, const SlotRefusal&) = default;
};

/// What became of requests.
struct AdmissionEffects {
  std::vector<Ticket> admitted;  ///< To run now, in order.
  std::vector<SlotRefusal> refused;

  friend bool operator==(const AdmissionEffects&,
                         const AdmissionEffects&) = default;
};

/// Limits in force at one owner.
struct AdmissionConfig {
  uint32_t slots = 0;
  uint32_t max_queue = 0;
  std::map<std::string, ClassConfig> classes;
  Duration ramp{};        ///< From the upstream's start to all its slots.
  bool draining = false;  ///< The upstream takes no new work for now.

  friend bool operator==(const AdmissionConfig&,
                         const AdmissionConfig&) = default;
};

/// Decides which requests run, wait or are refused at one upstream. The owner
/// is the only way to the upstream, so the slots counted here are exact.
class Admission {
 public:
  virtual ~Admission() = default;

  virtual AdmissionEffects OnRequest(const SlotRequest& request,
                                     Instant now) = 0;

  /// A running request has ended.
  /// @param service_time time in the upstream, without the queue; zero when
  /// it was broken off and says nothing.
  virtual AdmissionEffects OnFinished(Ticket ticket, Duration service_time,
                                      Instant now) = 0;

  /// A waiting request is no longer wanted. Its refusal is not reported.
  /// @return whether it was waiting.
  virtual bool Withdraw(Ticket ticket) = 0;

  /// Refuses waiting requests whose time is over.
  virtual AdmissionEffects OnTick(Instant now) = 0;

  virtual AdmissionEffects Configure(const AdmissionConfig& config,
                                     Instant now) = 0;

  /// From now on every new or waiting request is refused as not run, whatever
  /// is configured later.
  virtual AdmissionEffects Drain(Instant now) = 0;

  /// @param request_class whose median service time is reported; zero while
  /// none was learned.
  /// @return what is known of the upstream's load.
  virtual LoadReport Load(const std::string& request_class) const = 0;
};

std::unique_ptr<Admission> MakeAdmission();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_ADMISSION_H_
