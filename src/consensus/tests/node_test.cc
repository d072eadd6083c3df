#include <gtest/gtest.h>

#include "consensus/consensus_codec.h"
#include "consensus/consensus_node.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MemberId kA{"a", 0};
const MemberId kB{"b", 0};
const MemberId kC{"c", 0};
const MemberId kNewC{"c", 7};

Member Voter(const MemberId& id) { return {id, true, id.instance, "d"}; }

Member NonVoter(const MemberId& id) { return {id, false, id.instance, "d"}; }

LogEntry Command(Term term, LogIndex index) {
  return {term, index, EntryKind::kCommand, "x"};
}

LogEntry MembersEntry(Term term, LogIndex index,
                      const std::vector<Member>& members) {
  return {term, index, EntryKind::kMembers, EncodeMembers(members)};
}

class ANode : public testing::Test {
 protected:
  void Restore(const MemberId& self, RestoredConsensusState restored) {
    restored.founders = founders_;
    node_ = MakeConsensusNode(self, {}, std::move(restored), 1, now_);
    now_ += seconds(2);
  }

  ConsensusEffects Receive(const MemberId& from, Term term,
                           decltype(ConsensusMessage::body) body) {
    now_ += milliseconds(1);
    return node_->OnMessage({from, self_, term, std::move(body)}, now_);
  }

  /// Makes the node win an election with b's vote.
  /// @param term the term after the node's current one.
  void Elect(Term term) {
    now_ += seconds(2);
    node_->OnTick(now_);
    Receive(kB, term, VoteReply{true, true});
    Receive(kB, term, VoteReply{true, false});
    node_->OnSynced(now_);
    ASSERT_EQ(node_->Role(), ReplicaRole::kLeader);
  }

  uint64_t RoundSentTo(const MemberId& to, const ConsensusEffects& effects) {
    for (const ConsensusMessage& message : effects.send) {
      const auto* append = std::get_if<AppendRequest>(&message.body);
      if (message.to == to && append != nullptr) return append->round;
    }
    return 0;
  }

  uint64_t SendHeartbeatTo(const MemberId& to) {
    now_ += milliseconds(150);
    return RoundSentTo(to, node_->OnTick(now_));
  }

  const MemberId self_ = kA;
  std::vector<Member> founders_{Voter(kA), Voter(kB), Voter(kC)};
  Instant now_ = Instant(seconds(1000));
  std::unique_ptr<ConsensusNode> node_;
};

/// A node right after its start, as when all replicas are killed at the same
/// time and restart within a second.
class AStartedNode : public ANode {
 protected:
  AStartedNode() {
    RestoredConsensusState restored;
    restored.founders = founders_;
    node_ = MakeConsensusNode(kA, {}, std::move(restored), 1, now_);
  }
};

TEST_F(AStartedNode, StandsForElectionWithinHalfASecondWhenNobodyLeads) {
  now_ += milliseconds(500);
  const ConsensusEffects effects = node_->OnTick(now_);
  ASSERT_EQ(effects.send.size(), 2u);
  EXPECT_TRUE(std::get<VoteRequest>(effects.send[0].body).pre_vote);
}

TEST_F(AStartedNode, WaitsForAMessageFromARunningLeader) {
  now_ += milliseconds(240);
  EXPECT_TRUE(node_->OnTick(now_).send.empty());
  EXPECT_TRUE(Receive(kB, 1, VoteRequest{0, 0, true}).send.empty());
  Receive(kC, 1, AppendRequest{0, 0, {}, 0, 1});
  now_ += milliseconds(500);
  EXPECT_TRUE(node_->OnTick(now_).send.empty());
}

class AFollower : public ANode {
 protected:
  AFollower() { Restore(kA, {}); }
};

TEST_F(AFollower, RestoresTheMembersFromBeforeATruncatedEntry) {
  Receive(kB, 1, AppendRequest{0, 0, {MembersEntry(1, 1, {Voter(kB)})}, 0, 1});
  ASSERT_EQ(node_->Members().size(), 1u);
  Receive(kC, 2, AppendRequest{0, 0, {Command(2, 1)}, 0, 1});
  EXPECT_EQ(node_->Members(), founders_);
}

TEST_F(AFollower, CompactsWithTheMembersAsOfTheSnapshot) {
  Receive(kB, 1,
          AppendRequest{
              0, 0, {Command(1, 1), MembersEntry(1, 2, {Voter(kB)})}, 1, 1});
  node_->Compact(1, "state");
  EXPECT_EQ(node_->LastSnapshot().members, founders_);
}

TEST_F(AFollower, KeepsAcknowledgedEntriesBehindALateSnapshot) {
  Receive(kB, 1, AppendRequest{0, 0, {Command(1, 1), Command(1, 2)}, 0, 1});
  ConsensusEffects effects =
      Receive(kB, 1, InstallSnapshot{{1, 1, founders_, "state"}, 2});
  EXPECT_EQ(node_->LastIndex(), 2u);
  EXPECT_FALSE(effects.install.has_value());
  EXPECT_EQ(node_->CommitIndex(), 1u);
}

TEST_F(AFollower, CastsNoSecondVoteInTheTermOfALeaderItFollowed) {
  Receive(kB, 5, AppendRequest{0, 0, {}, 0, 1});
  now_ += seconds(5);
  ConsensusEffects effects = Receive(kC, 5, VoteRequest{9, 5, false});
  ASSERT_EQ(effects.send.size(), 1u);
  EXPECT_FALSE(std::get<VoteReply>(effects.send[0].body).granted);
}

TEST_F(AFollower, VotesBeforeItKnowsOfItsOwnPromotion) {
  founders_ = {Voter(kB), Voter(kC), NonVoter(kA)};
  Restore(kA, {});
  ConsensusEffects effects = Receive(kB, 2, VoteRequest{9, 1, false});
  ASSERT_EQ(effects.send.size(), 1u);
  EXPECT_TRUE(std::get<VoteReply>(effects.send[0].body).granted);
}

class ARestartedNode : public ANode {};

TEST_F(ARestartedNode, IgnoresVoteRequestsShortlyAfterItsStart) {
  Restore(kA, {});
  now_ -= seconds(2);
  EXPECT_TRUE(Receive(kB, 5, VoteRequest{9, 4, false}).send.empty());
  now_ += seconds(1);
  EXPECT_FALSE(Receive(kB, 5, VoteRequest{9, 4, false}).send.empty());
}

class ALeader : public ANode {
 protected:
  ALeader() {
    Restore(kA, {});
    Elect(1);
    Receive(kB, 1, AppendReply{true, 1, SendHeartbeatTo(kB)});
  }
};

TEST_F(ALeader, NoLongerCountsAMemberThatCameBackOnAnOldCopy) {
  ASSERT_EQ(node_->MatchIndex(kB), LogIndex{1});
  ASSERT_EQ(node_->CommitIndex(), 1u);
  const uint64_t round = SendHeartbeatTo(kB);
  Receive(kB, 1, AppendReply{false, 0, round});
  EXPECT_EQ(node_->MatchIndex(kB), LogIndex{0});
}

TEST_F(ALeader, IgnoresARefusalFromBeforeTheAcknowledgement) {
  Receive(kB, 1, AppendReply{false, 0, 1});
  EXPECT_EQ(node_->MatchIndex(kB), LogIndex{1});
}

TEST_F(ALeader, SendsProposalsOfOneTurnTogether) {
  ConsensusEffects effects;
  for (int i = 0; i < 3; ++i) {
    node_->Propose(EntryKind::kCommand, "x", now_, effects);
    EXPECT_TRUE(effects.send.empty());
  }
  const ConsensusEffects sent = node_->OnSynced(now_);
  ASSERT_FALSE(sent.send.empty());
  EXPECT_EQ(std::get<AppendRequest>(sent.send[0].body).entries.size(), 3u);
}

TEST_F(ALeader, IsNotReplacedByALateJoinOfItsOwnInstance) {
  Receive({"a", 9}, 0, JoinRequest{NonVoter({"a", 9})});
  EXPECT_EQ(node_->Members(), founders_);
}

/// Regression test: member c pauses for seconds while changes to a large
/// document continue, then replies to all queued requests. The leader must not
/// send the entries again for each of these replies.
class ALeaderOfAPausedMember : public ALeader {
 protected:
  ALeaderOfAPausedMember() {
    Receive(kC, 1, AppendReply{true, 1, SendHeartbeatTo(kC)});
    ConsensusEffects effects;
    node_->Propose(EntryKind::kCommand, "x", now_, effects);
    node_->OnSynced(now_);
  }

  /// Advances the clock and records what is sent to c.
  void Advance(Duration duration) {
    for (const Instant end = now_ + duration; now_ < end;) {
      now_ += milliseconds(100);
      Count(node_->OnTick(now_));
      Receive(kB, 1, AppendReply{true, 2, 1000});
    }
  }

  void Count(const ConsensusEffects& effects) {
    for (const ConsensusMessage& message : effects.send) {
      const auto* append = std::get_if<AppendRequest>(&message.body);
      if (message.to != kC || append == nullptr) continue;
      rounds_.push_back(append->round);
      if (append->entries.empty()) continue;
      ++with_entries_;
      last_with_entries_ = append->round;
    }
  }

  std::vector<uint64_t> rounds_;
  int with_entries_ = 0;
  uint64_t last_with_entries_ = 0;
};

TEST_F(ALeaderOfAPausedMember, ResendsEntriesAtGrowingIntervals) {
  Advance(seconds(8));
  EXPECT_LE(with_entries_, 5);
  EXPECT_GE(with_entries_, 3);
}

TEST_F(ALeaderOfAPausedMember, ResendsNoEntriesOnRepliesToEarlierRounds) {
  Advance(seconds(3));
  const std::vector<uint64_t> unanswered = rounds_;
  with_entries_ = 0;
  for (uint64_t round : unanswered) {
    if (round >= last_with_entries_) break;
    Count(Receive(kC, 1, AppendReply{true, 1, round}));
  }
  EXPECT_EQ(with_entries_, 0);
  Count(Receive(kC, 1, AppendReply{true, 1, last_with_entries_ + 1}));
  EXPECT_EQ(with_entries_, 1)
      << "a reply to a later round shows that the entries are lost";
}

class ALeaderWithARepairedReplica : public ALeader {
 protected:
  ALeaderWithARepairedReplica() {
    Receive(kNewC, 0, JoinRequest{NonVoter(kNewC)});
    node_->OnSynced(now_);
    Receive(kB, 1, AppendReply{true, 2, SendHeartbeatTo(kB)});
  }

  bool IsVoter() const {
    for (const Member& member : node_->Members()) {
      if (member.id == kNewC) return member.voter;
    }
    return false;
  }
};

TEST_F(ALeaderWithARepairedReplica, ReplacesTheOldIdentity) {
  EXPECT_EQ(node_->Members(),
            (std::vector<Member>{Voter(kA), Voter(kB), NonVoter(kNewC)}));
  EXPECT_EQ(node_->CommitIndex(), 2u);
}

TEST_F(ALeaderWithARepairedReplica, CountsItOnlyAfterASecondRound) {
  Receive(kNewC, 1, AppendReply{true, 1, SendHeartbeatTo(kNewC)});
  Receive(kNewC, 1, AppendReply{true, 1, SendHeartbeatTo(kNewC)});
  EXPECT_FALSE(IsVoter()) << "still behind the commit index";
  Receive(kNewC, 1, AppendReply{true, 2, SendHeartbeatTo(kNewC)});
  EXPECT_FALSE(IsVoter()) << "caught up in one round only";
  Receive(kNewC, 1, AppendReply{true, 2, SendHeartbeatTo(kNewC)});
  EXPECT_TRUE(IsVoter());
}

}  // namespace
}  // namespace hibiscusglade
