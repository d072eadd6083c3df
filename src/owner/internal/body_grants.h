#ifndef HIBISCUSGLADE_OWNER_INTERNAL_BODY_GRANTS_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_BODY_GRANTS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "calls/types/call_types.h"
#include "owner/internal/link_rate.h"

namespace hibiscusglade {

/// A request whose body an entry would send.
struct BodyOffer {
  uint64_t bytes = 0;
  Duration slot_wait{};     ///< Expected until a slot is free.
  Duration service_time{};  ///< Expected at the upstream; zero: not known.
  Instant deadline;
  Instant objective;  ///< When the latency objective ends; zero: none.

  friend bool operator==(const BodyOffer&, const BodyOffer&) = default;
};

/// Leave to send the bytes of a body before `until`.
struct BodyGrant {
  AttemptId attempt;
  uint64_t until = 0;

  friend bool operator==(const BodyGrant&, const BodyGrant&) = default;
};

/// Decides which bodies of requests travel over the incoming side of this
/// instance's link, and when. Answers the load of callers that upload more than
/// the link carries: a body that is sent unasked delays all that arrives
/// here, is refused late, and crosses the link to a second owner again. What is
/// taken arrives in time, one body after the other, the earliest objective
/// first; what isn't is refused before any of it was sent. As in
/// receiver-driven transports such as Homa (Montazeri et al., SIGCOMM 2018).
class BodyGrants {
 public:
  /// @param megabits_per_second rate of the link in 10^6 bit/s; 0: unknown, so
  /// that only memory limits the bodies.
  explicit BodyGrants(double megabits_per_second)
      : rate_(megabits_per_second) {}

  /// Decides whether a body can be here early enough for its request to be
  /// answered within its objective, behind all that were taken. One that is
  /// late in any case is taken only while no other is on its way and a slot is
  /// free.
  /// @return nullopt when it may come; otherwise how long it takes until there
  /// will be room for it.
  std::optional<Duration> WaitForRoom(const BodyOffer& offer,
                                      Instant now) const;

  void Accept(const AttemptId& attempt, const BodyOffer& offer);

  /// @return the next grant to send; nullopt when none may be sent now.
  std::optional<BodyGrant> Next(Instant now);

  /// Bytes of a body have arrived.
  /// @return false when they were not granted.
  bool OnArrived(const AttemptId& attempt, uint64_t bytes);

  /// A body is complete, or will not be needed.
  void Remove(const AttemptId& attempt);

  /// Deducts what else arrived over the link.
  /// @param total_bytes all bytes received since the start.
  void OnTraffic(uint64_t total_bytes, Instant now) {
    rate_.OnTraffic(total_bytes, now);
  }

  /// @return bytes of bodies that were taken and have not arrived.
  uint64_t MissingBytes() const { return missing_bytes_; }
  size_t Bodies() const { return bodies_.size(); }

 private:
  struct Body {
    BodyOffer offer;
    uint64_t granted = 0;
    uint64_t arrived = 0;
  };
  using Map = std::map<AttemptId, Body>;

  bool MayGrant(const Body& body) const;
  uint64_t WindowBytes() const;

  LinkRate rate_;
  Map bodies_;
  uint64_t missing_bytes_ = 0;
  uint64_t begun_bytes_ = 0;  ///< Sizes of the bodies that were granted some.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_BODY_GRANTS_H_
