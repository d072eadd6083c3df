#include "requests/internal/link_watch.h"

#include <utility>

namespace hibiscusglade {
namespace {

constexpr Duration kPingInterval = std::chrono::milliseconds(500);
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(1500);

}  // namespace

LinkFindings LinkWatch::Check(const OpenAttempts& open_attempts, Instant now) {
  LinkFindings findings;
  for (auto item = links_.begin(); item != links_.end();) {
    auto& [owner, link] = *item;
    std::vector<AttemptId> open = open_attempts(owner);
    const bool unresponsive = now - link.received_at > kUnresponsiveAfter;
    if (open.empty() || unresponsive) {
      if (!open.empty()) findings.unresponsive.push_back(owner);
      item = links_.erase(item);
      continue;
    }
    if (now - link.pinged_at >= kPingInterval) {
      link.pinged_at = now;
      findings.pings.push_back(
          {owner, ++link.last_ping_sequence, std::move(open)});
    }
    ++item;
  }
  return findings;
}

}  // namespace hibiscusglade
