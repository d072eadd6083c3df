#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_INSTANCE_STATE_REPORTER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_INSTANCE_STATE_REPORTER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Logs changes in the states of the instances of one failure domain, within a
/// limit of lines per second.
class InstanceStateReporter {
 public:
  explicit InstanceStateReporter(std::string failure_domain)
      : failure_domain_(std::move(failure_domain)) {}

  /// @param records of all instances.
  void Report(const std::vector<InstanceRecord>& records, Instant now);

 private:
  static constexpr uint32_t kLinesPerSecond = 5;

  std::string failure_domain_;
  std::map<std::string, InstanceState> states_;
  LogRateLimiter lines_{kLinesPerSecond};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_INSTANCE_STATE_REPORTER_H_
