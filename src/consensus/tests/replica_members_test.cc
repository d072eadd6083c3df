#include <gtest/gtest.h>

#include "consensus/consensus_result_codes.h"
#include "consensus/tests/replica_group.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AGroupOfThree : public testing::Test {
 protected:
  AGroupOfThree() { group_.Run(seconds(3)); }

  size_t VotersAt(const std::string& name) {
    size_t voters = 0;
    for (const Member& member : group_.At(name).Node().Members()) {
      if (member.voter) ++voters;
    }
    return voters;
  }

  bool HasMember(const std::string& name, const std::string& member) {
    for (const Member& other : group_.At(name).Node().Members()) {
      if (other.id.instance == member) return true;
    }
    return false;
  }

  /// @return whether a command commits within two seconds.
  bool Commits(const std::string& command) {
    const std::string leader = group_.LeaderName();
    if (leader.empty()) return false;
    std::error_code error = ConsensusCode::kNoQuorum;
    group_.At(leader).Propose(
        command, group_.Now(),
        [&error](const ReplicaResult& result) { error = result.error; });
    group_.Run(seconds(2));
    return !error;
  }

  ReplicaGroup group_{3};
};

class APermanentlyReplacedMember : public AGroupOfThree {
 protected:
  /// Stops a replica permanently and starts a new one with an empty folder.
  void Replace(const std::string& old, const std::string& next) {
    group_.Stop(old);
    group_.Start(next);
    group_.Run(seconds(8));
  }
};

TEST_F(APermanentlyReplacedMember, IsRemovedOnceTheNewOneIsAVoter) {
  Replace("c", "d");
  const std::string leader = group_.LeaderName();
  ASSERT_FALSE(leader.empty());
  EXPECT_TRUE(HasMember(leader, "d"));
  EXPECT_FALSE(HasMember(leader, "c"));
  EXPECT_EQ(VotersAt(leader), 3u);
}

TEST_F(APermanentlyReplacedMember,
       DoesNotCountTowardsTheQuorumAfterASecondLoss) {
  Replace("c", "d");
  group_.Stop(group_.LeaderName());
  group_.Run(seconds(4));
  EXPECT_TRUE(Commits("after the second loss"));
}

TEST_F(APermanentlyReplacedMember, CanBeEachFounderInTurn) {
  Replace("a", "d");
  Replace("b", "e");
  Replace("c", "f");
  EXPECT_TRUE(Commits("by none of the founders"));
  EXPECT_EQ(VotersAt(group_.LeaderName()), 3u);
}

class ATemporarilyIsolatedMember : public AGroupOfThree {};

TEST_F(ATemporarilyIsolatedMember, RemainsAVoterInASmallGroup) {
  group_.Isolate("c");
  group_.Run(seconds(20));
  EXPECT_EQ(VotersAt(group_.LeaderName()), 3u);
  group_.Heal("c");
  group_.Run(seconds(3));
  EXPECT_TRUE(Commits("with all of them"));
}

TEST_F(ATemporarilyIsolatedMember, RejoinsALargeGroup) {
  group_.Start("d");
  group_.Run(seconds(3));
  ASSERT_EQ(VotersAt(group_.LeaderName()), 4u);
  const std::string away = group_.LeaderName() == "c" ? "b" : "c";
  group_.Isolate(away);
  group_.Run(seconds(8));
  EXPECT_FALSE(HasMember(group_.LeaderName(), away));
  group_.Heal(away);
  group_.Run(seconds(5));
  EXPECT_EQ(VotersAt(group_.LeaderName()), 4u);
}

class AReplicaThatStartsAgain : public AGroupOfThree {};

TEST_F(AReplicaThatStartsAgain, AnswersReadsOnlyFromAllItHasAcknowledged) {
  const std::string leader = group_.LeaderName();
  for (int i = 0; i < 100; ++i) {
    group_.At(leader).Propose(std::to_string(i), group_.Now(),
                              [](const ReplicaResult&) {});
  }
  group_.Run(seconds(2));
  for (const char* name : {"a", "b", "c"}) group_.Stop(name);
  for (const char* name : {"a", "b", "c"}) group_.Start(name);
  std::string state;
  // Start reading before the whole log has been reapplied.
  for (int i = 0; i < 300 && state.empty(); ++i) {
    group_.Run(milliseconds(10));
    const std::string leader_now = group_.LeaderName();
    if (leader_now.empty()) continue;
    group_.At(leader_now)
        .Read("", group_.Now(), [&state](const ReplicaResult& result) {
          if (!result.error && state.empty()) state = result.result;
        });
  }
  group_.Run(seconds(2));
  EXPECT_EQ(std::count(state.begin(), state.end(), '\n'), 100);
}

}  // namespace
}  // namespace hibiscusglade
