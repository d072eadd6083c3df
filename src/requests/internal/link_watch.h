#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_LINK_WATCH_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_LINK_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "calls/types/call_types.h"

namespace hibiscusglade {

/// A ping to send to an owner.
struct LinkPingDue {
  std::string owner;
  uint64_t sequence = 0;
  std::vector<AttemptId> attempts;  ///< Open at that owner.

  friend bool operator==(const LinkPingDue&, const LinkPingDue&) = default;
};

struct LinkFindings {
  std::vector<std::string>
      unresponsive;  ///< Owners; their links are forgotten.
  std::vector<LinkPingDue> pings;

  friend bool operator==(const LinkFindings&, const LinkFindings&) = default;
};

/// Decides which links to owners are pinged, and which are unresponsive: a
/// connection can go silent for good without being closed. Only links with open
/// attempts are watched.
class LinkWatch {
 public:
  using OpenAttempts =
      std::function<std::vector<AttemptId>(const std::string& owner)>;

  void OnSent(const std::string& owner, Instant now) {
    links_.try_emplace(owner, Link{now, now, 0});
  }
  void OnReceived(const std::string& owner, Instant now) {
    auto link = links_.find(owner);
    if (link != links_.end()) link->second.received_at = now;
  }
  void Remove(const std::string& owner) { links_.erase(owner); }

  LinkFindings Check(const OpenAttempts& open_attempts, Instant now);

 private:
  struct Link {
    Instant received_at;
    Instant pinged_at;
    uint64_t last_ping_sequence = 0;
  };

  std::map<std::string, Link> links_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_LINK_WATCH_H_
