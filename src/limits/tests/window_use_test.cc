#include "limits/internal/window_use.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using namespace std::chrono_literals;

constexpr BucketTerms kTerms{10, 20, 20};
const Instant kStart{1000s};

TEST(WindowUse, ABucketIsFullBeforeAnythingWasUsed) {
  WindowUse use;
  EXPECT_EQ(use.Level(kTerms, kStart), 20);
}

TEST(WindowUse, WhatRanTooEarlyIsADebtThatTimePaysBack) {
  WindowUse use;
  use.Add(25, kStart);
  EXPECT_LE(use.Level(kTerms, kStart), -5);
  EXPECT_LT(use.Level(kTerms, kStart + 400ms), 0);
  EXPECT_GE(use.Level(kTerms, kStart + 900ms), 1);
}

TEST(WindowUse, UseIsForgottenAfterTheWindow) {
  WindowUse use;
  use.Add(100, kStart);
  EXPECT_EQ(use.Sum(kStart + 5s), 100U);
  EXPECT_EQ(use.Sum(kStart + 5250ms), 0U);
  EXPECT_EQ(use.Level(kTerms, kStart + 5250ms), 20);
}

TEST(WindowUse, ANewCoordinatorKnowsTheLevelFromTheSlotsOfOthers) {
  WindowUse first, second, sum, heard;
  for (int i = 0; i < 40; ++i) {
    const Instant now = kStart + i * 100ms;
    (i % 3 == 0 ? first : second).Add(2, now);
    sum.Add(2, now);
  }
  const Instant now = kStart + 4s;
  heard.AddSlots(first.SlotsNewestFirst(now), now);
  heard.AddSlots(second.SlotsNewestFirst(now), now);
  EXPECT_EQ(heard.Level(kTerms, now), sum.Level(kTerms, now));
}

TEST(WindowUse, WhatWasNotRunComesBack) {
  WindowUse use;
  use.Add(20, kStart);
  use.Remove(5, kStart, kStart);
  EXPECT_EQ(use.Level(kTerms, kStart), 5);
}

}  // namespace
}  // namespace hibiscusglade
