#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_NODE_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_NODE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "consensus/consensus_node.h"
#include "consensus/internal/entry_log.h"
#include "consensus/internal/lost_identities.h"
#include "consensus/internal/start_round.h"

namespace hibiscusglade {

/// Implementation of ConsensusNode.
class Node : public ConsensusNode {
 public:
  Node(MemberId self, const ConsensusConfig& config,
       RestoredConsensusState restored, uint64_t seed, Instant now);

  ConsensusEffects AnnounceStart() override;
  ConsensusEffects OnTick(Instant now) override;
  ConsensusEffects OnMessage(const ConsensusMessage& message,
                             Instant now) override;
  ConsensusEffects Leave(Instant now) override;
  bool HasLeft() const override;
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
  std::vector<MemberId> LostVoters() const override { return lost_.Known(); }
  std::optional<LogIndex> MatchIndex(const MemberId& member) const override;
  Instant NextDeadline() const override;

 private:
  /// Replication state that a leader keeps for one other member.
  struct Progress {
    LogIndex match = 0;            ///< Last index known to be stored there.
    LogIndex next = 1;             ///< Index of the next entry to send.
    uint64_t confirmed_round = 0;  ///< Highest round that it replied to.
    uint64_t match_round = 0;      ///< Value of `round_` when `match` rose.
    /// Value of `round_` when it was first found caught up, 0 while it lags.
    uint64_t caught_up_round = 0;
    Instant last_reply;
    Instant last_sent;
    LogIndex sent_commit = 0;  ///< Commit index last sent to it.
    bool needs_snapshot = false;
    bool in_flight = false;      ///< Entries or a snapshot await their reply.
    uint64_t entries_round = 0;  ///< Round that last carried entries.
    Duration resend_interval{};  ///< Doubles with each unanswered sending.
  };

  /// A read that is granted once a quorum has replied to `round` and `index` is
  /// committed.
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
  bool HasRecentLeaderContact(Instant now) const;
  /// @return whether a vote request must be ignored, so that it does not
  /// disrupt a group that has a working leader.
  bool MayDisrupt(const VoteRequest& body, Instant now) const;

  // After a start.
  void OnStartNotice(const ConsensusMessage& message, const StartNotice& body,
                     Instant now);
  void SendStartNotice(const MemberId& to, uint64_t heard);
  /// Stands for election, or moves the time at which it does, by what the other
  /// voters have told.
  void ActOnStartNotices(Instant now);

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
  void MarkInFlight(Progress& progress);
  void SendHeartbeat(const MemberId& to, const Progress& progress);
  void BroadcastAppend(Instant now);
  /// Sends new entries and the commit index to members with nothing in flight.
  void ReplicateToIdleMembers(Instant now);
  void AdvanceCommit(Instant now);
  void CommitThrough(LogIndex index);
  void Append(LogEntry entry);

  // Reads and leadership checks.
  void GrantReads();
  void FailReads();
  /// @return the highest round to which a quorum has replied.
  uint64_t QuorumConfirmedRound() const;
  bool QuorumRepliedSince(Instant since) const;
  /// @return whether these members can act for the group.
  bool IsQuorum(const std::vector<MemberId>& supporters) const;
  bool IsQuorumOf(const std::vector<Member>& members,
                  const std::vector<MemberId>& supporters) const;
  /// @param value what a voter has reached, such as an index of the log.
  /// @return the highest value that a quorum has reached; 0 if there is none.
  uint64_t ReachedByQuorum(
      const std::function<uint64_t(const MemberId&)>& value) const;

  // Members.
  /// @param previous the members before; they count, too, until the entry with
  /// the new ones is committed.
  void SetMembers(std::vector<Member> members, std::vector<Member> previous);
  /// @return whether the entry with the members is known to be committed.
  bool MembersAreCommitted() const;
  /// @return the members that count at present.
  std::vector<Member> CountedMembers() const;
  void ForgetUncountedMembers();
  bool ProposeMembers(const std::vector<Member>& members, Instant now);
  /// @return the members in effect at an index, and the index of the entry or
  /// snapshot that set them.
  std::pair<LogIndex, std::vector<Member>> MembersAt(LogIndex index) const;
  /// @return the members before the entry or snapshot at an index.
  std::vector<Member> MembersBefore(LogIndex index) const;
  void ReadMembersFromLog();
  void RemoveUnresponsiveMember(Instant now);
  /// @return whether a group without the voter can act, and loses no more than
  /// it must bear.
  bool CanDoWithout(const Member& voter, Duration silence, Instant now) const;
  /// @return time since the member last replied to this leader.
  Duration SilenceOf(const MemberId& member, Instant now) const;
  bool ProposeRemoval(const MemberId& member, Instant now);
  void PromoteIfCaughtUp(const MemberId& id, uint64_t round, Instant now);
  bool IsVoter(const MemberId& id) const;
  /// @return whether the group has more voters than it needs.
  bool HasSurplusVoters() const;

  // Replicas that lost their disks.
  void OnLostVoters(const MemberId& from, const std::vector<MemberId>& lost);
  void OnIdentityRequest(const ConsensusMessage& message,
                         const IdentityRequest& body);

  // Before a stop.
  void RequestToLeave(Instant now);
  void OnLeaveRequest(const ConsensusMessage& message, const LeaveRequest& body,
                      Instant now);
  void OnLeaveReply(const LeaveReply& body);
  /// Steps down once an entry is committed that takes this leader out.
  void StepDownIfRemoved(Instant now);

  void Send(const MemberId& to, Term term,
            decltype(ConsensusMessage::body) body);
  void PersistVote();
  void ResetElectionDeadline(Instant now);
  Duration RandomBetween(Duration lowest, Duration highest);
  ConsensusEffects TakeEffects();

  const MemberId self_;
  const ConsensusConfig config_;
  Random random_;

  VoteState vote_;
  EntryLog log_;
  std::vector<Member> members_;
  std::vector<Member> previous_members_;
  LogIndex members_index_ = 0;
  LogIndex commit_index_ = 0;
  LogIndex synced_index_ = 0;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<MemberId> leader_;
  Instant last_leader_contact_;
  /// Vote requests are ignored for a while after the start. The data folder may
  /// be an old copy that lacks a vote of the current term, so a running leader
  /// gets the time to make itself known first.
  Instant ignore_votes_until_;
  StartRound start_;
  LostIdentities lost_;
  Instant election_deadline_;
  Instant heartbeat_deadline_;
  bool pre_voting_ = false;
  std::set<MemberId> votes_;

  std::map<MemberId, Progress> progress_;
  uint64_t round_ = 0;
  LogIndex term_start_index_ = 0;
  std::vector<PendingRead> pending_reads_;

  bool leaving_ = false;  ///< Leave() was called.
  /// Whether the group has removed this replica, or keeps its vote.
  std::optional<bool> removed_;
  Instant next_leave_request_;

  ConsensusEffects pending_effects_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_NODE_H_
