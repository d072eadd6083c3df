#include "control/internal/held_reads.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A replica that has just started, while a herd of daemons reads its floor.
class AStartedReplica : public testing::Test {
 protected:
  bool Hold(bool leader_known = false, bool read = true) {
    ReplicaCallback done = [](const ReplicaResult&) {};
    return reads_.Hold({++last_, GroupId::kVersions, "", read}, leader_known,
                       now_, done);
  }

  size_t Due(bool leader_known, milliseconds later) {
    now_ += later;
    return reads_.TakeDue(leader_known, now_).size();
  }

  HeldReads reads_;
  uint64_t last_ = 0;
  Instant now_{seconds(1000)};
};

TEST_F(AStartedReplica, AnswersAllReadsInTheTurnThatBringsALeader) {
  for (int i = 0; i < 71; ++i) EXPECT_TRUE(Hold());
  EXPECT_EQ(Due(false, milliseconds(300)), 0u);
  EXPECT_EQ(Due(true, milliseconds(1)), 71u);
  EXPECT_EQ(Due(true, milliseconds(1)), 0u);
}

TEST_F(AStartedReplica, RefusesBeforeTheClientTakesItForSilent) {
  Hold();
  EXPECT_EQ(Due(false, milliseconds(399)), 0u);
  EXPECT_EQ(Due(false, milliseconds(1)), 1u);
}

TEST_F(AStartedReplica, HoldsNothingThatAnotherReplicaMayAnswerSooner) {
  EXPECT_FALSE(Hold(true));
  EXPECT_FALSE(Hold()) << "a replica that has lost its leader";
}

TEST_F(AStartedReplica, HoldsNoCommands) { EXPECT_FALSE(Hold(false, false)); }

TEST_F(AStartedReplica, HoldsNothingOnceItHasRunForLongWithoutALeader) {
  EXPECT_TRUE(Hold());
  now_ += milliseconds(3001);
  EXPECT_FALSE(Hold());
}

TEST_F(AStartedReplica, HoldsABoundedNumber) {
  for (int i = 0; i < 4096; ++i) EXPECT_TRUE(Hold());
  EXPECT_FALSE(Hold());
}

}  // namespace
}  // namespace hibiscusglade
