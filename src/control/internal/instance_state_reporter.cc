#include "control/internal/instance_state_reporter.h"

#include <utility>

namespace hibiscusglade {

void InstanceStateReporter::Report(const std::vector<InstanceRecord>& records,
                                   Instant now) {
  std::map<std::string, InstanceState> states;
  for (const InstanceRecord& record : records) {
    if (record.failure_domain != failure_domain_) continue;
    states.emplace(record.instance, record.state);
    const auto known = states_.find(record.instance);
    if (known != states_.end() && known->second == record.state) continue;
    if (!lines_.AllowLine(now)) continue;
    Log(LogLevel::kInfo, "control",
        "An instance is " + std::string(NameOf(record.state)) + ".",
        {{"subject", record.instance},
         {"sequence", std::to_string(record.sequence)},
         {"version", std::to_string(record.version_in_use)},
         {"lines_left_out", std::to_string(lines_.TakeSuppressedCount())}});
  }
  states_ = std::move(states);
}

}  // namespace hibiscusglade
