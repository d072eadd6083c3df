#include <gtest/gtest.h>

#include "consensus/consensus_node.h"
#include "consensus/tests/replica_group.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kNames = {"a", "b", "c"};

/// Three replicas that have lost power at one moment.
class AGroupAfterALossOfAllReplicas : public testing::Test {
 protected:
  AGroupAfterALossOfAllReplicas() {
    group_.Run(seconds(3));
    for (const std::string& name : kNames) group_.Stop(name);
  }

  ReplicaGroup group_{3};
};

TEST_F(AGroupAfterALossOfAllReplicas, HasALeaderWithoutWaitingForATimeOut) {
  for (int loss = 0; loss < 20; ++loss) {
    for (const std::string& name : kNames) group_.Stop(name);
    for (const std::string& name : kNames) group_.Start(name);
    group_.Run(milliseconds(20));
    EXPECT_NE(group_.LeaderName(), "");
    group_.Run(milliseconds(100));
  }
}

TEST_F(AGroupAfterALossOfAllReplicas, HasOneAsSoonAsTheLastHasStarted) {
  group_.Start("a");
  group_.Run(milliseconds(60));
  group_.Start("b");
  group_.Run(milliseconds(100));
  EXPECT_EQ(group_.LeaderName(), "");
  group_.Start("c");
  group_.Run(milliseconds(20));
  EXPECT_NE(group_.LeaderName(), "");
}

TEST_F(AGroupAfterALossOfAllReplicas, HasOneAlsoAfterPreVotesInVain) {
  group_.Start("a");
  group_.Run(milliseconds(700));
  EXPECT_EQ(group_.LeaderName(), "");
  group_.Start("b");
  group_.Start("c");
  group_.Run(milliseconds(20));
  EXPECT_NE(group_.LeaderName(), "");
}

TEST_F(AGroupAfterALossOfAllReplicas, WaitsForALeaderAmongThoseThatStayDark) {
  group_.Start("a");
  group_.Start("b");
  group_.Run(milliseconds(240));
  EXPECT_EQ(group_.LeaderName(), "");
  group_.Run(milliseconds(40));
  EXPECT_EQ(group_.LeaderName(), "a");
}

TEST_F(AGroupAfterALossOfAllReplicas, DoesNotCountOneWithAnEmptyDisk) {
  group_.Wipe("a");
  for (const std::string& name : kNames) group_.Start(name);
  group_.Run(milliseconds(240));
  EXPECT_EQ(group_.LeaderName(), "");
  group_.Run(milliseconds(400));
  EXPECT_EQ(group_.LeaderName(), "b");
}

TEST_F(AGroupAfterALossOfAllReplicas, LeadsByTimeOutsWhereNoNoticeArrives) {
  group_.SetNetwork(1, 100, milliseconds(0));
  for (const std::string& name : kNames) group_.Start(name);
  group_.Run(milliseconds(50));
  group_.SetNetwork(1, 0, milliseconds(0));
  group_.Run(seconds(3));
  EXPECT_NE(group_.LeaderName(), "");
}

TEST(AGroupWithALeader, IsFoundByAReplicaThatStartsAtOnce) {
  ReplicaGroup group(3);
  group.Run(seconds(3));
  const std::string leader = group.LeaderName();
  const std::string other = leader == "a" ? "b" : "a";
  group.Stop(other);
  group.Run(milliseconds(50));
  group.Start(other);
  group.Run(milliseconds(20));
  EXPECT_EQ(group.At(other).LeaderAddress(), leader);
  EXPECT_EQ(group.LeaderName(), leader);
}

const MemberId kA{"a", 0};
const MemberId kB{"b", 0};
const MemberId kC{"c", 0};

/// A replica whose log ends at index 5 of term 2, right after its start.
class AReplicaThatStarts : public testing::Test {
 protected:
  AReplicaThatStarts() {
    RestoredConsensusState restored;
    for (const MemberId& id : {kA, kB, kC}) {
      restored.founders.push_back({id, true, id.instance, "d"});
    }
    restored.vote = {2, std::nullopt};
    for (LogIndex index = 1; index <= 5; ++index) {
      restored.entries.push_back({2, index, EntryKind::kCommand, "x"});
    }
    node_ = MakeConsensusNode(kA, {}, restored, kStart, now_);
    node_->AnnounceStart();
  }

  ConsensusEffects Receive(const MemberId& from, Term term,
                           decltype(ConsensusMessage::body) body) {
    now_ += milliseconds(1);
    return node_->OnMessage({from, kA, term, std::move(body)}, now_);
  }

  /// @return whether the messages sent ask for votes.
  static bool Stands(const ConsensusEffects& effects) {
    return std::ranges::any_of(effects.send, [](const auto& message) {
      return std::holds_alternative<VoteRequest>(message.body);
    });
  }

  static constexpr uint64_t kStart = 7;
  Instant now_ = Instant(seconds(1000));
  std::unique_ptr<ConsensusNode> node_;
};

TEST_F(AReplicaThatStarts, StandsWhenItsLogIsTheLongestOfAll) {
  EXPECT_FALSE(Stands(Receive(kB, 2, StartNotice{4, 2, 8, kStart})));
  const ConsensusEffects effects = Receive(kC, 6, StartNotice{5, 2, 9, kStart});
  ASSERT_TRUE(Stands(effects));
  EXPECT_EQ(effects.vote, (VoteState{7, kA}));
}

TEST_F(AReplicaThatStarts, LeavesItToAnotherWhoseLogIsLonger) {
  Receive(kB, 2, StartNotice{4, 2, 8, kStart});
  EXPECT_FALSE(Stands(Receive(kC, 2, StartNotice{6, 2, 9, kStart})));
}

TEST_F(AReplicaThatStarts, DoesNotCountWhatItsEarlierProcessWasTold) {
  Receive(kB, 2, StartNotice{4, 2, 8, kStart});
  EXPECT_FALSE(Stands(Receive(kC, 2, StartNotice{4, 2, 9, kStart - 1})));
  EXPECT_FALSE(Stands(Receive(kC, 2, StartNotice{4, 2, 9, 0})));
}

TEST_F(AReplicaThatStarts, VotesAtOnceOnlyForOneThatWasToldByThisProcess) {
  EXPECT_EQ(Receive(kB, 3, VoteRequest{6, 2, false, 0}), ConsensusEffects{});
  EXPECT_EQ(Receive(kB, 3, VoteRequest{6, 2, false, kStart - 1}),
            ConsensusEffects{});
  const ConsensusEffects effects =
      Receive(kB, 3, VoteRequest{6, 2, false, kStart});
  ASSERT_EQ(effects.send.size(), 1u);
  EXPECT_EQ(effects.send[0].body,
            decltype(ConsensusMessage::body)(VoteReply{true, false}));
}

TEST_F(AReplicaThatStarts, StaysSilentOnceALeaderHasShownItself) {
  Receive(kB, 2, AppendRequest{5, 2, {}, 5, 1});
  EXPECT_TRUE(Receive(kC, 2, StartNotice{5, 2, 9, kStart}).send.empty());
}

}  // namespace
}  // namespace hibiscusglade
