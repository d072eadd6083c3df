#ifndef HIBISCUSGLADE_ROUTING_RETRY_BUDGET_H_
#define HIBISCUSGLADE_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace hibiscusglade {

/// Limits extra attempts (retries or hedges) to a percentage of the requests.
class RetryBudget {
 public:
  /// @param percent extra attempts allowed per hundred requests.
  /// @param burst extra attempts that can accumulate; small, because all
  /// entries may spend theirs at the same time when an outage begins.
  explicit RetryBudget(uint32_t percent, double burst = 3.0)
      : percent_(percent), burst_(burst), balance_(burst) {}

  /// Adds the share of one received request to the budget.
  void OnRequest() { balance_ = std::min(burst_, balance_ + percent_ / 100.0); }

  /// Deducts one extra attempt.
  /// @return false when the budget is exhausted, and always at zero percent.
  bool TryTake() {
    if (!MayTake()) return false;
    balance_ -= 1.0;
    return true;
  }

  /// @return whether TryTake() would deduct one.
  bool MayTake() const { return percent_ > 0 && balance_ >= 1.0; }

  void SetPercent(uint32_t percent) { percent_ = percent; }

 private:
  uint32_t percent_;
  double burst_;
  double balance_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_RETRY_BUDGET_H_
