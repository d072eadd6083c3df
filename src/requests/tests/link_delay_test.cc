#include "requests/internal/link_delay.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Calls of one entry, whose clock started 1000 s before the owner's. Each has
/// a second left, and an objective of half a second.
class CallsFromAnotherMachine : public testing::Test {
 protected:
  /// @return a call that was sent now and arrives after `on_the_way`.
  CallAttempt Receive(Duration on_the_way,
                      const std::string& connection = "in1") {
    CallAttempt attempt;
    attempt.remaining = seconds(1);
    attempt.objective = milliseconds(500);
    delay_.Discount(connection, now_ + seconds(1000), now_ + on_the_way,
                    attempt);
    return attempt;
  }

  LinkDelay delay_;
  Duration now_ = seconds(5000);  ///< By the owner's clock.
};

TEST_F(CallsFromAnotherMachine, HaveTheirWholeTimeWhenTheyComeSoon) {
  for (int ms : {4, 9, 2, 60, 150}) {
    EXPECT_EQ(Receive(milliseconds(ms)).remaining, seconds(1)) << ms;
    now_ += seconds(7);
  }
}

/// A link was cut, and what was sent on it arrives when it heals.
TEST_F(CallsFromAnotherMachine, HaveLessTimeWhenTheyWereHeldUp) {
  Receive(milliseconds(4));
  const CallAttempt late = Receive(milliseconds(704));
  EXPECT_EQ(late.remaining, milliseconds(300));
  EXPECT_EQ(late.objective, milliseconds(-200));
}

TEST_F(CallsFromAnotherMachine, HaveNoTimeLeftAfterTheirDeadline) {
  Receive(milliseconds(4));
  EXPECT_EQ(Receive(seconds(5)).remaining, Duration{});
  EXPECT_EQ(Receive(milliseconds(504)).objective, Duration(-1));
}

TEST_F(CallsFromAnotherMachine, AreComparedOnTheirOwnConnectionOnly) {
  Receive(milliseconds(4));
  EXPECT_EQ(Receive(seconds(5), "in2").remaining, seconds(1));
}

/// Clocks that drift by 100 us in a second are 360 ms apart after an hour.
TEST_F(CallsFromAnotherMachine, HaveTheirWholeTimeThoughClocksDriftApart) {
  Duration drift{};
  for (int second = 0; second < 3600; second += 5) {
    EXPECT_EQ(Receive(milliseconds(4) + drift).remaining, seconds(1));
    now_ += seconds(5);
    drift += std::chrono::microseconds(500);
  }
}

TEST_F(CallsFromAnotherMachine, HaveTheirWholeTimeIfTheSenderDoesNotTell) {
  CallAttempt attempt;
  attempt.remaining = seconds(1);
  delay_.Discount("in1", {}, now_, attempt);
  EXPECT_EQ(attempt.remaining, seconds(1));
}

}  // namespace
}  // namespace hibiscusglade
