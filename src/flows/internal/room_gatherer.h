#ifndef HIBISCUSGLADE_FLOWS_INTERNAL_ROOM_GATHERER_H_
#define HIBISCUSGLADE_FLOWS_INTERNAL_ROOM_GATHERER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "flows/types/service_room.h"

namespace hibiscusglade {

/// What one daemon reports of one service.
struct MemberRoom {
  double demand = 0;    ///< Requests/s of its entry.
  double capacity = 0;  ///< Requests/s that its upstream can complete.
  uint32_t slots = 0;   ///< That the capacity is of.
  uint32_t unmeasured_slots = 0;
  double link_bytes = 0;  ///< Per second that its link carries; 0: unknown.
  double bytes_per_request = 0;
  bool pressed = false;
  Instant at;

  friend bool operator==(const MemberRoom&, const MemberRoom&) = default;
};

/// A failure domain's word on its room.
struct DomainRoom {
  ServiceRoom room;
  bool asks = false;              ///< For the room of the others.
  uint64_t peer_sent_micros = 0;  ///< On the clock of the sender.

  friend bool operator==(const DomainRoom&, const DomainRoom&) = default;
};

/// Adds up what the daemons of one failure domain report of one service, beside
/// the sums of the other domains. Single-threaded.
class RoomGatherer {
 public:
  /// @param room untrusted; ignored if its figures are impossible.
  void OnReport(const std::string& instance, const MemberRoom& room);

  /// @param domain another failure domain.
  void OnSummary(const std::string& domain, const DomainRoom& word);

  /// @return whether daemons are to report and domains to be heard: some daemon
  /// is pressed or some domain asks.
  bool Active(Instant now) const;

  /// To be called in each round while active.
  /// @return whether all daemons are to be asked for reports now.
  bool AskNow(Instant now);

  /// @return the own sum; nullopt while reports may be missing or no upstream
  /// of several has been measured.
  std::optional<ServiceRoom> OwnRoom(Instant now) const;

  const std::map<std::string, DomainRoom>& Others() const { return others_; }

  /// @return instances that have reported lately.
  std::vector<std::string> Members(Instant now) const;

 private:
  std::map<std::string, MemberRoom> members_;
  std::map<std::string, DomainRoom> others_;
  Instant wanted_at_;     ///< Last sign of pressure.
  Instant asked_at_;      ///< Last time the daemons were asked.
  Instant asking_since_;  ///< Without a break.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_FLOWS_INTERNAL_ROOM_GATHERER_H_
