#ifndef HIBISCUSGLADE_CLAIMS_LEDGER_TIME_H_
#define HIBISCUSGLADE_CLAIMS_LEDGER_TIME_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace hibiscusglade {

/// Calendar time of one owner, from its newest command.
struct OwnerTime {
  std::string owner;
  int64_t time = 0;  ///< In microseconds.

  friend bool operator==(const OwnerTime&, const OwnerTime&) = default;
};

/// Calendar time of the ledger, the same at each replica: the lower median of
/// the latest times of the owners whose commands were applied last. It never
/// goes back, and one owner with a wrong clock among three can't move it.
class LedgerTime {
 public:
  LedgerTime() = default;

  /// @param owners from a snapshot, least recently observed first.
  /// @param now in microseconds.
  LedgerTime(std::deque<OwnerTime> owners, int64_t now);

  /// Records the time of an owner's command and updates the ledger's time.
  void Observe(const std::string& owner, int64_t time);

  int64_t Now() const { return now_; }
  const std::deque<OwnerTime>& Owners() const { return owners_; }

 private:
  int64_t Median() const;

  std::deque<OwnerTime> owners_;
  int64_t now_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_LEDGER_TIME_H_
