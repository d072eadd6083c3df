#include "claims/ledger_time.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

TEST(TheLedgersTime, FollowsItsOwners) {
  LedgerTime time;
  for (int64_t now : {100, 200, 300}) {
    for (const char* owner : {"x", "y", "z"}) time.Observe(owner, now);
    EXPECT_EQ(time.Now(), now);
  }
}

TEST(TheLedgersTime, IsNotMovedByOneWrongClock) {
  LedgerTime time;
  for (const char* owner : {"x", "y"}) time.Observe(owner, 100);
  for (int i = 0; i < 50; ++i) time.Observe("wrong", 1'000'000);
  EXPECT_EQ(time.Now(), 100);
}

TEST(TheLedgersTime, NeverGoesBack) {
  LedgerTime time;
  time.Observe("x", 100);
  for (const char* owner : {"x", "y", "z"}) time.Observe(owner, 50);
  EXPECT_EQ(time.Now(), 100);
}

}  // namespace
}  // namespace hibiscusglade
