#ifndef HIBISCUSGLADE_MEMBERSHIP_TYPES_INSTANCE_RECORD_H_
#define HIBISCUSGLADE_MEMBERSHIP_TYPES_INSTANCE_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"

namespace hibiscusglade {

/// State of a daemon as seen by its peers.
enum class InstanceState : uint8_t {
  kAlive = 0,
  kSuspected = 1,
  kDead = 2,
  kLeft = 3
};

/// State of the upstream beside a daemon.
enum class UpstreamState : uint8_t {
  kNone = 0,
  kStarting = 1,
  kServing = 2,
  kDraining = 3,
};

/// @return the name used in logs and by the operators' API.
inline const char* NameOf(InstanceState state) {
  switch (state) {
    case InstanceState::kAlive:
      return "alive";
    case InstanceState::kSuspected:
      return "suspected";
    case InstanceState::kDead:
      return "dead";
    case InstanceState::kLeft:
      break;
  }
  return "left";
}

/// @return the name used in logs and by the operators' API.
inline const char* NameOf(UpstreamState state) {
  switch (state) {
    case UpstreamState::kStarting:
      return "starting";
    case UpstreamState::kServing:
      return "serving";
    case UpstreamState::kDraining:
      return "draining";
    case UpstreamState::kNone:
      break;
  }
  return "none";
}

/// A daemon's description of itself and its upstream, spread by gossip. Only
/// that daemon raises the sequence; other daemons may only change the state, to
/// suspected or dead.
struct InstanceRecord {
  std::string instance;
  std::string region;
  std::string failure_domain;
  /// Of the daemon's process; rises at restarts. The start time, or more than
  /// that of the earlier process where the clock was set back.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  InstanceState state = InstanceState::kAlive;
  std::string control_address;
  std::string request_address;
  std::string service;  ///< Empty while no upstream has announced itself.
  uint32_t slots = 0;
  UpstreamState upstream_state = UpstreamState::kNone;
  /// Start time of an upstream incarnation that drains or has left, as Unix
  /// time; 0: there is none.
  int64_t upstream_started_at_ms = 0;
  /// Announcements of that incarnation with a lower sequence are out of date.
  uint64_t upstream_sequence = 0;
  /// Version of the upstream's software; empty: unknown.
  std::string upstream_version;
  uint64_t version_in_use = 0;
  Digest version_digest = 0;
  bool replica = false;
  /// Failure domains that this daemon cannot reach, when it is a relay; sorted.
  std::vector<std::string> unreachable_domains;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

/// @return whether `a` is newer than `b`, a record of the same instance.
inline bool Supersedes(const InstanceRecord& a, const InstanceRecord& b) {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
  if (a.sequence != b.sequence) return a.sequence > b.sequence;
  return a.state > b.state;
}

/// @return whether two records differ at most in sequence and version in use.
inline bool DifferOnlyInVersion(const InstanceRecord& a, InstanceRecord b) {
  b.sequence = a.sequence;
  b.version_in_use = a.version_in_use;
  b.version_digest = a.version_digest;
  return a == b;
}

/// @return whether `earlier` is of an earlier process of the same daemon than
/// `later`, and tells of an upstream that drains or has left.
inline bool IsEarlierLeave(const InstanceRecord& earlier,
                           const InstanceRecord& later) {
  return earlier.upstream_started_at_ms != 0 &&
         earlier.incarnation < later.incarnation;
}

/// @return whether a daemon has to raise its incarnation above that of an
/// earlier process, which was started before the clock was set back. Not above
/// that of an alive process at another address: two processes of one name would
/// overtake each other without end.
inline bool MustOvertake(const InstanceRecord& self,
                         const InstanceRecord& other) {
  const bool may_run_elsewhere = other.state <= InstanceState::kSuspected &&
                                 other.control_address != self.control_address;
  return other.incarnation >= self.incarnation && !may_run_elsewhere;
}

/// @return whether a record is to be sent before others, as no more requests
/// must be sent there: its daemon leaves or its upstream drains.
inline bool IsUrgent(const InstanceRecord& record) {
  return record.state == InstanceState::kLeft ||
         record.upstream_state == UpstreamState::kDraining;
}

/// An upstream's registration with its daemon, or a renewal of it.
struct UpstreamAnnouncement {
  std::string service;
  std::string address;  ///< "ip:port" of its HTTP server.
  uint32_t slots = 0;
  uint32_t connections = 0;
  UpstreamState state = UpstreamState::kServing;
  std::string id = {};        ///< Of the upstream incarnation; may be empty.
  int64_t started_at_ms = 0;  ///< Unix time of the start; 0: unknown.
  uint64_t sequence = 0;      ///< Raised with each announcement; 0: unknown.
  /// Time for which runs stay slow after the upstream's start.
  Duration cold_remaining{};
  std::string software_version = {};  ///< Of the upstream; empty: unknown.

  friend bool operator==(const UpstreamAnnouncement&,
                         const UpstreamAnnouncement&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_TYPES_INSTANCE_RECORD_H_
