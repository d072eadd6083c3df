#include "control/internal/start_reporter.h"

#include <gtest/gtest.h>

#include <string>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(AStart, KeepsTheTimeAtWhichAStageWasFirstReached) {
  const Instant started{seconds(1000)};
  auto metrics = MakeMetrics();
  StartReporter start(started, *metrics);
  EXPECT_FALSE(start.Reached(StartStage::kFloor));
  start.OnStage(StartStage::kFloor, started + milliseconds(250));
  start.OnStage(StartStage::kFloor, started + seconds(9));
  EXPECT_TRUE(start.Reached(StartStage::kFloor));
  EXPECT_FALSE(start.Reached(StartStage::kVersion));
  EXPECT_NE(metrics->Exposition().find(
                "hibiscusglade_start_stage_seconds{stage=\"floor\"} 0.25"),
            std::string::npos);
}

}  // namespace
}  // namespace hibiscusglade
