#ifndef HIBISCUSGLADE_ADMISSION_CALL_TREES_H_
#define HIBISCUSGLADE_ADMISSION_CALL_TREES_H_

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"

namespace hibiscusglade {

/// Learns by class which part of its runs at the local upstream is in vain,
/// because a call that the upstream made for them was refused, and refuses that
/// part of new requests while others wait for its slots. Load: the service that
/// the calls go to turns many of them away for seconds, while the callers of
/// this one compete for its slots. Single-threaded.
class CallTrees {
 public:
  virtual ~CallTrees() = default;

  /// A call that the upstream made for a request that it runs was refused.
  virtual void OnCallRefused(Instant now) = 0;

  /// A run has ended.
  /// @param failed whether the upstream answered that it failed.
  virtual void OnRunEnded(const std::string& request_class, Instant started,
                          bool failed, Instant now) = 0;

  /// Decides on a new request for which no slot is free, other than a call of
  /// begun work. At least one in four passes, so that a change shows.
  /// @return nullopt if it may ask for a slot, else the time after which the
  /// caller may try again.
  virtual std::optional<Duration> RefuseNew(const std::string& request_class,
                                            Instant now) = 0;
};

std::unique_ptr<CallTrees> MakeCallTrees();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_CALL_TREES_H_
