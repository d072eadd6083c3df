#include "control/internal/readiness.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

TEST(ADaemonThatStops, IsNotReadyAgainWhenAVersionIsPutInUse) {
  Readiness readiness;
  EXPECT_FALSE(readiness.Ready());
  readiness.OnVersionInUse(1);
  EXPECT_TRUE(readiness.Ready());
  readiness.BeginStop();
  EXPECT_FALSE(readiness.Ready());
  // The control thread was applying a version when the stop began.
  readiness.OnVersionInUse(1);
  EXPECT_FALSE(readiness.Ready());
}

TEST(ADaemonOfAMeshWithoutAConfiguration, IsNotReadyUntilOneIsInUse) {
  Readiness readiness;
  readiness.OnVersionInUse(0);
  EXPECT_FALSE(readiness.Ready());
  readiness.OnVersionInUse(1);
  EXPECT_TRUE(readiness.Ready());
}

}  // namespace
}  // namespace hibiscusglade
