#include "flows/completion_meter.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AMeter : public testing::Test {
 protected:
  /// @param running slots in use by runs of a length.
  void Work(Duration time, uint32_t running, Duration run) {
    const Instant end = now_ + time;
    for (; now_ < end; now_ += milliseconds(10)) {
      done_ += running * 0.01 / std::chrono::duration<double>(run).count();
      meter_.Sample({"store", 6, running, static_cast<uint64_t>(done_)}, now_);
    }
  }

  Instant now_ = Instant(seconds(1000));
  double done_ = 0;
  CompletionMeter meter_;
};

TEST_F(AMeter, KnowsTheCapacityAtHalfLoadFromWhatRunsTake) {
  Work(seconds(3), 3, milliseconds(50));
  EXPECT_NEAR(*meter_.Capacity(), 120, 5);
  EXPECT_NEAR(meter_.Fill(), 0.5, 0.02);
}

TEST_F(AMeter, SeesWithinSecondsThatItsUpstreamTurnedSlow) {
  Work(seconds(5), 6, milliseconds(50));
  Work(seconds(4), 6, milliseconds(125));
  EXPECT_NEAR(*meter_.Capacity(), 48, 12);
}

TEST_F(AMeter, KnowsNothingAfterFewRunsOrOfAnotherUpstream) {
  Work(milliseconds(50), 1, milliseconds(50));
  EXPECT_FALSE(meter_.Capacity().has_value());
  Work(seconds(3), 6, milliseconds(50));
  meter_.Sample({"other", 6, 6, 0}, now_);
  EXPECT_FALSE(meter_.Capacity().has_value());
}

}  // namespace
}  // namespace hibiscusglade
