#ifndef HIBISCUSGLADE_ROUTING_RETRY_BUDGET_H_
#define HIBISCUSGLADE_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace hibiscusglade {

/// Bounds extra attempts to a share of the requests that came in.
class RetryBudget {
 public:
  /// @param percent extra attempts allowed per hundred requests.
  /// @param burst extra attempts that may be saved up. All entries may spend
  /// theirs in the first moment of an outage.
  explicit RetryBudget(uint32_t percent, double burst = 3.0)
      : percent_(percent), burst_(burst), balance_(burst) {}

  /// A request came in.
  void OnRequest() { balance_ = std::min(burst_, balance_ + percent_ / 100.0); }

  /// Takes one extra attempt.
  /// @return false when the budget is spent, and always at zero percent.
  bool TryTake() {
    if (percent_ == 0 || balance_ < 1.0) return false;
    balance_ -= 1.0;
    return true;
  }

  void SetPercent(uint32_t percent) { percent_ = percent; }

 private:
  uint32_t percent_;
  double burst_;
  double balance_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_RETRY_BUDGET_H_
