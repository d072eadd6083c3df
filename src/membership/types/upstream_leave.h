#ifndef HIBISCUSGLADE_MEMBERSHIP_TYPES_UPSTREAM_LEAVE_H_
#define HIBISCUSGLADE_MEMBERSHIP_TYPES_UPSTREAM_LEAVE_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Sequence above that of all announcements of an upstream incarnation.
inline constexpr uint64_t kAfterLeave = std::numeric_limits<uint64_t>::max();

/// A drain or deregistration of an upstream incarnation. Its announcements with
/// a lower sequence are out of date.
struct UpstreamLeave {
  std::string id;
  int64_t started_at_ms = 0;
  uint64_t sequence = kAfterLeave;  ///< kAfterLeave: it has deregistered.

  friend bool operator==(const UpstreamLeave&, const UpstreamLeave&) = default;
};

/// @return whether two leaves are of the same upstream incarnation.
inline bool IsSameIncarnation(const UpstreamLeave& a, const UpstreamLeave& b) {
  return a.id == b.id && a.started_at_ms == b.started_at_ms;
}

/// @return whether a leave is of the incarnation that announces itself.
inline bool IsOf(const UpstreamLeave& leave,
                 const UpstreamAnnouncement& upstream) {
  return leave.id == upstream.id &&
         leave.started_at_ms == upstream.started_at_ms;
}

/// @return whether a deregistration is of the local upstream.
/// @param id empty matches any.
/// @param started_at_ms 0 matches any.
inline bool IsMeant(const std::optional<UpstreamAnnouncement>& local,
                    const std::string& id, int64_t started_at_ms) {
  return local.has_value() && (id.empty() || id == local->id) &&
         (started_at_ms == 0 || started_at_ms == local->started_at_ms);
}

/// @return the leave that a deregistration tells of; nullopt when the upstream
/// can't be told from a later start under its id.
/// @param id empty: not given.
/// @param started_at_ms 0: not given.
inline std::optional<UpstreamLeave> LeaveOf(
    const std::optional<UpstreamAnnouncement>& local, const std::string& id,
    int64_t started_at_ms) {
  const int64_t start =
      IsMeant(local, id, started_at_ms) ? local->started_at_ms : started_at_ms;
  if (id.empty() || start == 0) return std::nullopt;
  return UpstreamLeave{id, start, kAfterLeave};
}

/// @return the leave that an announcement tells of; nullopt when the upstream
/// doesn't drain, or can't be told from a later start under its id.
inline std::optional<UpstreamLeave> LeaveIn(
    const UpstreamAnnouncement& upstream) {
  if (upstream.state != UpstreamState::kDraining || upstream.id.empty() ||
      upstream.started_at_ms == 0) {
    return std::nullopt;
  }
  return UpstreamLeave{upstream.id, upstream.started_at_ms, upstream.sequence};
}

/// Why an announcement of the local upstream is ignored.
enum class IgnoredReason {
  kUnexpected,       ///< It is of another service or address.
  kLeaveRecorded,    ///< The replicas have recorded that it drains or has left.
  kLeft,             ///< It has deregistered here.
  kEarlierStart,     ///< A later incarnation has announced itself.
  kEarlierSequence,  ///< A later announcement has arrived.
};

/// @return the name used in logs.
inline const char* NameOf(IgnoredReason reason) {
  switch (reason) {
    case IgnoredReason::kUnexpected:
      return "unexpected";
    case IgnoredReason::kLeaveRecorded:
      return "leave_recorded";
    case IgnoredReason::kLeft:
      return "left";
    case IgnoredReason::kEarlierStart:
      return "earlier_start";
    case IgnoredReason::kEarlierSequence:
      break;
  }
  return "earlier_sequence";
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_TYPES_UPSTREAM_LEAVE_H_
