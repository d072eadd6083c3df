#include "consensus/replica.h"

#include <gtest/gtest.h>

#include "consensus/consensus_result_codes.h"
#include "consensus/tests/replica_group.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

class AGroupOfThree : public testing::Test {
 protected:
  AGroupOfThree() : group_(3) { group_.Run(seconds(3)); }

  ReplicaResult Propose(const std::string& name, const std::string& command) {
    // Shared with the callback, which may be called after this function
    // returns.
    auto result = std::make_shared<ReplicaResult>(
        ReplicaResult{ConsensusCode::kOutcomeUnknown, ""});
    group_.At(name).Propose(
        command, group_.Now(),
        [result](const ReplicaResult& outcome) { *result = outcome; });
    group_.Run(seconds(1));
    return *result;
  }

  std::string AFollower() {
    for (const char* name : {"a", "b", "c"}) {
      if (group_.LeaderName() != name) return name;
    }
    return "";
  }

  ReplicaGroup group_;
};

TEST_F(AGroupOfThree, ElectsOneLeader) {
  EXPECT_FALSE(group_.LeaderName().empty());
}

TEST_F(AGroupOfThree, AppliesACommandEverywhere) {
  ReplicaResult result = Propose(group_.LeaderName(), "x");
  EXPECT_FALSE(result.error);
  EXPECT_EQ(result.result, "applied x");
  for (const char* name : {"a", "b", "c"}) {
    EXPECT_EQ(group_.StateOf(name).Commands(), std::vector<std::string>{"x"});
  }
}

TEST_F(AGroupOfThree, RefusesACommandAtAFollower) {
  EXPECT_EQ(Propose(AFollower(), "x").error, ConsensusCode::kNotLeader);
}

class AnIsolatedLeader : public AGroupOfThree {
 protected:
  AnIsolatedLeader() : old_leader_(group_.LeaderName()) {
    group_.Isolate(old_leader_);
  }
  std::string old_leader_;
};

TEST_F(AnIsolatedLeader, NeitherAcceptsNorAnswers) {
  EXPECT_TRUE(Propose(old_leader_, "lost").error);
  ReplicaResult read{{}, "none"};
  group_.At(old_leader_)
      .Read("", group_.Now(),
            [&read](const ReplicaResult& outcome) { read = outcome; });
  group_.Run(seconds(6));
  EXPECT_TRUE(read.error);
}

TEST_F(AnIsolatedLeader, AdoptsTheNewLeadersLogOnceReconnected) {
  Propose(old_leader_, "lost");
  group_.Run(seconds(3));
  ASSERT_NE(group_.LeaderName(), old_leader_);
  ReplicaResult kept = Propose(group_.LeaderName(), "kept");
  EXPECT_FALSE(kept.error) << kept.error;
  group_.Heal(old_leader_);
  group_.Run(seconds(3));
  EXPECT_EQ(group_.StateOf(old_leader_).Commands(),
            std::vector<std::string>{"kept"});
}

class ARestartedGroup : public AGroupOfThree {};

TEST_F(ARestartedGroup, HoldsWhatWasAccepted) {
  Propose(group_.LeaderName(), "x");
  for (const char* name : {"a", "b", "c"}) group_.Stop(name);
  for (const char* name : {"a", "b", "c"}) group_.Start(name);
  group_.Run(seconds(3));
  EXPECT_EQ(group_.StateOf("b").Commands(), std::vector<std::string>{"x"});
}

// Guards against a group that had a leader 0.1 s after its start, and applied
// the log for 1.3 s more before a version could be used.
TEST_F(ARestartedGroup, HasFewChangesToApplyAgain) {
  constexpr size_t kMostApplied = 16;
  const std::string change(16 * 1024, 'x');
  for (int i = 0; i < 60; ++i) {
    ASSERT_FALSE(Propose(group_.LeaderName(), change).error);
    if (i % 7 != 6) continue;
    for (const char* name : {"a", "b", "c"}) group_.Stop(name);
    for (const char* name : {"a", "b", "c"}) group_.Start(name);
    group_.Run(seconds(3));
    for (const char* name : {"a", "b", "c"}) {
      EXPECT_LE(group_.StateOf(name).Applied(), kMostApplied) << name;
      EXPECT_EQ(group_.StateOf(name).Commands().size(),
                static_cast<size_t>(i) + 1);
    }
  }
}

class AReplicaThatLostItsDisk : public AGroupOfThree {
 protected:
  void LoseDisk(const std::string& name) {
    group_.Stop(name);
    group_.Wipe(name);
    group_.Start(name);
  }
};

TEST_F(AReplicaThatLostItsDisk, RestartsAsANonVoterAndRejoins) {
  Propose(group_.LeaderName(), "x");
  const std::string lost = AFollower();
  LoseDisk(lost);
  EXPECT_EQ(group_.At(lost).Node().Role(), ReplicaRole::kNonVoter);
  group_.Run(seconds(5));
  EXPECT_EQ(group_.At(lost).Node().Role(), ReplicaRole::kFollower);
  EXPECT_EQ(group_.StateOf(lost).Commands(), std::vector<std::string>{"x"});
}

}  // namespace
}  // namespace hibiscusglade
