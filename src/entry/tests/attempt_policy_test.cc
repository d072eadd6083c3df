#include "entry/internal/attempt_policy.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

/// A route whose requests may be repeated and hedged.
class AnAttemptPolicy : public testing::Test {
 protected:
  AnAttemptPolicy() {
    route_.repeatable = true;
    route_.max_attempts = 3;
    limits_.retry_budget_percent = 20;
    limits_.hedge_budget_percent = 5;
  }

  CallProgress Call() const { return {route_, service_, 0, 1, 1, 3, false}; }

  AttemptDecision Retry() {
    return policy_.DecideRetry(Call(), {{}, Certainty::kUnknown, "", {}});
  }

  RouteConfig route_;
  LimitsConfig limits_;
  std::string service_ = "plots";
  AttemptPolicy policy_;
};

// Guards against hedges that are lost for good because no retry was left at
// that moment.
TEST_F(AnAttemptPolicy, KeepsTheHedgeBudgetWhenTheRetryBudgetDeniesAHedge) {
  policy_.OnCall(service_, limits_);
  while (Retry() == AttemptDecision::kAllowed) {
  }
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(policy_.DecideHedge(Call()), AttemptDecision::kBudget);
  }
  // 15 calls fill three retries again.
  for (int i = 0; i < 15; ++i) policy_.OnCall(service_, limits_);
  EXPECT_EQ(policy_.DecideHedge(Call()), AttemptDecision::kAllowed);
  EXPECT_EQ(policy_.DecideHedge(Call()), AttemptDecision::kAllowed);
  EXPECT_EQ(policy_.DecideHedge(Call()), AttemptDecision::kAllowed);
}

}  // namespace
}  // namespace hibiscusglade
