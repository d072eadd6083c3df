#include "flows/internal/room_gatherer.h"

#include <algorithm>
#include <cmath>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReportLifetime = milliseconds(1500);
constexpr Duration kActiveTime = seconds(3);
constexpr Duration kAskInterval = seconds(1);
/// Until all daemons that were asked have reported: two of their rounds.
constexpr Duration kGatherTime = milliseconds(1200);
/// Share of a link that answers may take.
constexpr double kLinkFill = 0.9;

bool IsPossible(double figure) {
  return std::isfinite(figure) && figure >= 0 && figure < 1e9;
}

}  // namespace

void RoomGatherer::OnReport(const std::string& instance,
                            const MemberRoom& room) {
  const bool possible = IsPossible(room.demand) && IsPossible(room.capacity) &&
                        IsPossible(room.bytes_per_request) &&
                        std::isfinite(room.link_bytes) && room.link_bytes >= 0;
  if (!possible) return;
  members_[instance] = room;
  if (room.pressed) wanted_at_ = room.at;
}

void RoomGatherer::OnSummary(const std::string& domain,
                             const DomainRoom& word) {
  others_[domain] = word;
  if (word.asks) wanted_at_ = word.room.known_at;
}

bool RoomGatherer::Active(Instant now) const {
  return wanted_at_ != Instant{} && now < wanted_at_ + kActiveTime;
}

bool RoomGatherer::AskNow(Instant now) {
  std::erase_if(members_, [now](const auto& member) {
    return now >= member.second.at + kReportLifetime;
  });
  if (asked_at_ != Instant{} && now < asked_at_ + kAskInterval) return false;
  const bool broke = now >= asked_at_ + 3 * kAskInterval;
  if (asked_at_ == Instant{} || broke) asking_since_ = now;
  asked_at_ = now;
  return true;
}

std::optional<ServiceRoom> RoomGatherer::OwnRoom(Instant now) const {
  if (asking_since_ == Instant{} || now < asking_since_ + kGatherTime) {
    return std::nullopt;
  }
  ServiceRoom sum;
  double bytes = 0;
  double measured = 0;
  uint32_t slots = 0;
  uint32_t unmeasured = 0;
  for (const auto& [instance, room] : members_) {
    if (now >= room.at + kReportLifetime) continue;
    sum.demand += room.demand;
    bytes += room.demand * room.bytes_per_request;
    measured += room.capacity;
    slots += room.slots;
    unmeasured += room.unmeasured_slots;
  }
  if (slots == 0 && unmeasured > 0) return std::nullopt;
  if (sum.demand > 0) sum.bytes_per_request = bytes / sum.demand;
  const double per_slot = slots > 0 ? measured / slots : 0;
  for (const auto& [instance, room] : members_) {
    if (now >= room.at + kReportLifetime) continue;
    double capacity = room.capacity + room.unmeasured_slots * per_slot;
    if (room.link_bytes > 0 && sum.bytes_per_request > 0) {
      capacity = std::min(capacity,
                          kLinkFill * room.link_bytes / sum.bytes_per_request);
    }
    sum.capacity += capacity;
  }
  sum.known_at = now;
  return sum;
}

std::vector<std::string> RoomGatherer::Members(Instant now) const {
  std::vector<std::string> instances;
  for (const auto& [instance, room] : members_) {
    if (now < room.at + kReportLifetime) instances.push_back(instance);
  }
  return instances;
}

}  // namespace hibiscusglade
