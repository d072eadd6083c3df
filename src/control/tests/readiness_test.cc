#include "control/internal/readiness.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

TEST(ADaemonThatStops, IsNotReadyAgainWhenAVersionIsPutInUse) {
  Readiness readiness;
  EXPECT_FALSE(readiness.Ready());
  readiness.OnVersionInUse();
  EXPECT_TRUE(readiness.Ready());
  readiness.BeginStop();
  EXPECT_FALSE(readiness.Ready());
  // The control thread was applying a version when the stop began.
  readiness.OnVersionInUse();
  EXPECT_FALSE(readiness.Ready());
}

}  // namespace
}  // namespace hibiscusglade
