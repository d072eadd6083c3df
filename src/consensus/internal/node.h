#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_NODE_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_NODE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "consensus/consensus_node.h"
#include "consensus/internal/entry_log.h"

namespace hibiscusglade {

/// Implementation of ConsensusNode.
class Node : public ConsensusNode {
 public:
  Node(MemberId self, const ConsensusTimes& times, ConsensusRestored restored,
       uint64_t seed, Instant now);

  ConsensusEffects OnTick(Instant now) override;
  ConsensusEffects OnMessage(const ConsensusMessage& message,
                             Instant now) override;
  ConsensusEffects OnSynced(Instant now) override;
  std::optional<std::pair<Term, LogIndex>> Propose(
      EntryKind kind, std::string command, Instant now,
      ConsensusEffects& effects) override;
  bool RequestRead(uint64_t read, Instant now,
                   ConsensusEffects& effects) override;
  void Compact(LogIndex through, std::string state) override;

  const ConsensusSnapshot& LastSnapshot() const override {
    return log_.Snapshot();
  }
  std::vector<LogEntry> EntriesAfterSnapshot() const override {
    return log_.Entries();
  }
  ReplicaRole Role() const override { return role_; }
  Term CurrentTerm() const override { return vote_.term; }
  LogIndex CommitIndex() const override { return commit_index_; }
  LogIndex LastIndex() const override { return log_.LastIndex(); }
  std::optional<MemberId> Leader() const override { return leader_; }
  const std::vector<Member>& Members() const override { return members_; }
  std::optional<LogIndex> MatchIndex(const MemberId& member) const override;
  Instant NextDeadline() const override;

 private:
  /// What a leader knows about one other member.
  struct Progress {
    LogIndex match = 0;
    LogIndex next = 1;
    uint64_t confirmed_round = 0;
    uint64_t match_round = 0;      ///< Last round asked before `match` rose.
    uint64_t caught_up_round = 0;  ///< Last round asked before it caught up.
    Instant last_reply;
    Instant last_sent;
    LogIndex sent_commit = 0;
    bool needs_snapshot = false;
    bool waiting = false;  ///< Entries are under way and not yet answered.
    uint64_t entries_round = 0;  ///< Of the last message that held entries.
    Duration resend_after{};     ///< Grows while nothing is answered.
  };

  struct PendingRead {
    uint64_t read;
    uint64_t round;
    LogIndex index;
  };

  // Elections.
  void BecomeFollower(Term term, std::optional<MemberId> leader, Instant now);
  void StartElection(bool pre_vote, Instant now);
  void BecomeLeader(Instant now);
  void OnVoteRequest(const ConsensusMessage& message, const VoteRequest& body,
                     Instant now);
  void OnVoteReply(const ConsensusMessage& message, const VoteReply& body,
                   Instant now);
  bool LeaderIsFresh(Instant now) const;

  // Replication.
  void OnAppendRequest(const ConsensusMessage& message,
                       const AppendRequest& body, Instant now);
  void OnAppendReply(const ConsensusMessage& message, const AppendReply& body,
                     Instant now);
  void OnInstallSnapshot(const ConsensusMessage& message,
                         const InstallSnapshot& body, Instant now);
  void OnJoinRequest(const JoinRequest& body, Instant now);
  void AcceptEntries(const std::vector<LogEntry>& entries);
  void SendAppend(const MemberId& to, Instant now);
  void ExpectAnswer(Progress& progress);
  void SendHeartbeat(const MemberId& to, const Progress& progress);
  void BroadcastAppend(Instant now);
  /// Sends new entries and commit index to whom nothing is under way.
  void SendNews(Instant now);
  void AdvanceCommit(Instant now);
  void CommitThrough(LogIndex index);
  void Append(LogEntry entry);

  // Reads and leadership checks.
  void GrantReads();
  void FailReads();
  uint64_t QuorumRound() const;
  bool QuorumAnsweredSince(Instant since) const;

  // Members.
  void SetMembers(std::vector<Member> members);
  bool ProposeMembers(const std::vector<Member>& members, Instant now);
  /// @return the members as of an index and the index that set them.
  std::pair<LogIndex, std::vector<Member>> MembersAt(LogIndex index) const;
  void ReadMembersFromLog();
  void RetireSilentMember(Instant now);
  void PromoteCaughtUp(const MemberId& id, uint64_t round, Instant now);
  bool IsVoter(const MemberId& id) const;
  size_t QuorumSize() const;

  void Send(const MemberId& to, Term term,
            decltype(ConsensusMessage::body) body);
  void PersistVote();
  void ResetElectionDeadline(Instant now);
  Duration Between(Duration lowest, Duration highest);
  ConsensusEffects Take();

  const MemberId self_;
  const ConsensusTimes times_;
  Random random_;

  VoteState vote_;
  EntryLog log_;
  std::vector<Member> members_;
  LogIndex members_index_ = 0;
  LogIndex commit_index_ = 0;
  LogIndex synced_index_ = 0;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<MemberId> leader_;
  Instant last_leader_contact_;
  /// No vote before a live leader had the time to show itself: the data folder
  /// may be an old copy.
  Instant quiet_until_;
  Instant election_deadline_;
  Instant heartbeat_deadline_;
  bool pre_voting_ = false;
  std::set<MemberId> votes_;

  std::map<MemberId, Progress> progress_;
  uint64_t round_ = 0;
  LogIndex term_start_index_ = 0;
  std::vector<PendingRead> pending_reads_;

  ConsensusEffects out_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_NODE_H_
