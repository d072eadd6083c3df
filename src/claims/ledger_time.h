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

/// Calendar time as the ledger knows it, the same at each replica: the lower
/// median of the times of the owners heard last. It never goes back, and one
/// owner with a wrong clock among three can't move it.
class LedgerTime {
 public:
  LedgerTime() = default;

  /// @param owners of a snapshot, oldest first.
  /// @param now in microseconds.
  LedgerTime(std::deque<OwnerTime> owners, int64_t now);

  /// Takes the time of a command.
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
