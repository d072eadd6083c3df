#include "control/internal/unreadable_record_reporter.h"

#include <string>
#include <variant>

namespace hibiscusglade {

void UnreadableRecordReporter::Report(const wire::Envelope& message,
                                      const MembershipMessage& read) {
  const auto* gossip = std::get_if<GossipMessage>(&read);
  if (gossip == nullptr ||
      gossip->records.size() ==
          static_cast<size_t>(message.gossip().records_size()) ||
      !lines_.AllowLine(clock_.Now())) {
    return;
  }
  Log(LogLevel::kWarning, "control",
      "Records of instances were ignored: an address can't be read.",
      {{"sender", message.instance()},
       {"lines_left_out", std::to_string(lines_.TakeSuppressedCount())}});
}

}  // namespace hibiscusglade
