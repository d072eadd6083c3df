#ifndef HIBISCUSGLADE_OWNER_INTERNAL_LINK_BUDGET_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_LINK_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "calls/types/call_types.h"
#include "owner/internal/link_rate.h"

namespace hibiscusglade {

/// An attempt whose answer would have to cross the link.
struct LinkRequest {
  std::string request_class;
  Duration service_time{};  ///< Expected at the upstream; zero: not known.
  Instant deadline;
  Instant objective;  ///< When the latency objective ends; zero: none.

  friend bool operator==(const LinkRequest&, const LinkRequest&) = default;
};

/// Accounts for the bytes of answers that this instance's link has to carry:
/// of those that are queued, and of those that attempts which run are expected
/// to have. Decides which attempts the link has room for and when the next
/// piece of an answer may be sent. A link of unknown rate limits nothing.
class LinkBudget {
 public:
  /// @param megabits_per_second rate of the link in 10^6 bit/s; 0: unknown.
  explicit LinkBudget(double megabits_per_second);

  bool Limited() const { return rate_.Limited(); }

  /// Decides whether the answer to a new attempt can cross the link in time.
  /// An answer that would miss its objective delays all that are queued behind
  /// it, so that every one of them is late. An attempt that is late in any case
  /// is taken only while the link has nothing to carry.
  /// @return nullopt when the attempt may begin; otherwise how long it takes
  /// until there will be room for it.
  std::optional<Duration> WaitForRoom(const LinkRequest& request,
                                      Instant now) const;

  /// Reserves what an answer of the class is expected to have.
  void Reserve(const AttemptId& attempt, const std::string& request_class);

  /// The number of bytes that an answer still has to send is known.
  void SetRemaining(const AttemptId& attempt, uint64_t bytes);

  /// Bytes of an answer were queued.
  /// @param bytes all that wait in the queue of this answer.
  void OnQueued(const AttemptId& attempt, uint64_t bytes);

  /// Bytes of an answer were passed to the transport.
  void OnSent(const AttemptId& attempt, uint64_t bytes, Instant now);

  /// Charges what the daemon sent besides the answers of OnSent(): requests of
  /// its entry, refusals, the control plane.
  /// @param total_bytes all bytes that the daemon has sent since its start.
  void OnTraffic(uint64_t total_bytes, Instant now) {
    rate_.OnTraffic(total_bytes, now);
  }

  /// An answer has ended or was dropped.
  void Release(const AttemptId& attempt);

  /// Records the size of a whole answer.
  void OnAnswerSize(const std::string& request_class, uint64_t bytes);

  /// @return whether the answer is sent at once, ahead of queued ones.
  bool IsShort(const AttemptId& attempt) const;

  /// @return whether the next piece of a queued answer may be sent.
  bool MaySend(Instant now) { return rate_.MaySend(now); }

  /// @return the size of one piece of a queued answer, in bytes.
  size_t PieceBytes() const { return rate_.PieceBytes(); }

  /// @return bytes that the link still has to carry.
  uint64_t BacklogBytes() const;

 private:
  double ExpectedBytes(const std::string& request_class) const;
  void SetReserved(const AttemptId& attempt, double bytes);

  LinkRate rate_;
  double reserved_total_ = 0;
  std::map<AttemptId, double> reserved_;        ///< Bytes.
  std::map<std::string, double> answer_bytes_;  ///< Moving average by class.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_LINK_BUDGET_H_
