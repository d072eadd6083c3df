#ifndef HIBISCUSGLADE_CONSENSUS_CONSENSUS_NODE_H_
#define HIBISCUSGLADE_CONSENSUS_CONSENSUS_NODE_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

/// Size, intervals and timeouts of a group.
struct ConsensusConfig {
  /// Disks that may be lost at the same time. The group takes voters out only
  /// while twice as many and one are left.
  uint32_t tolerated_losses = 1;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(600);
  Duration election_timeout_max = std::chrono::milliseconds(1200);
  /// Unacknowledged entries are sent again at intervals that double up to this
  /// limit, so that a slow member can finish processing those it has received.
  Duration max_resend_interval = std::chrono::milliseconds(2400);
  /// Election timeout after a start. Shorter than the usual one, as a restarted
  /// replica receives a message from a running leader within a few heartbeats.
  Duration startup_timeout_min = std::chrono::milliseconds(250);
  Duration startup_timeout_max = std::chrono::milliseconds(500);
  /// A member that has not replied for this long is removed from the group if
  /// enough voters remain. It requests to join again once it is running.
  Duration removal_timeout = std::chrono::seconds(4);
  /// The same for a voter that the group doesn't need. Shorter than the time
  /// after which a leader without a quorum steps down, so that one that loses
  /// half of its group can still remove one of them.
  Duration surplus_removal_timeout = std::chrono::milliseconds(900);

  /// @return the number of voters below which none is taken out.
  size_t NeededVoters() const {
    return 2 * std::max<size_t>(tolerated_losses, 1) + 1;
  }
};

/// Stored state from which a node restarts.
struct RestoredConsensusState {
  VoteState vote;
  std::optional<ConsensusSnapshot> snapshot;
  std::vector<LogEntry> entries;  ///< Entries after the snapshot, without gaps.
  std::vector<Member> founders;   ///< Initial members; used without a snapshot.
};

/// Outcome of RequestRead(). A granted read may be answered once the state is
/// applied through `index`.
struct ReadGrant {
  uint64_t read = 0;     ///< Identifier that was given to RequestRead().
  bool granted = false;  ///< False if leadership was lost before confirmation.
  LogIndex index = 0;

  friend bool operator==(const ReadGrant&, const ReadGrant&) = default;
};

/// Actions that the user of a node must perform, in the order of the fields.
/// `vote`, `install` and `append` must be synced before any message is sent.
struct ConsensusEffects {
  std::optional<VoteState> vote;             ///< To store.
  std::optional<ConsensusSnapshot> install;  ///< Replaces state and log.
  /// Entries to store; they replace all stored entries from the index of the
  /// first one on.
  std::vector<LogEntry> append;
  std::vector<ConsensusMessage> send;
  std::vector<LogEntry> committed;  ///< To apply, in order.
  std::vector<ReadGrant> reads;

  friend bool operator==(const ConsensusEffects&,
                         const ConsensusEffects&) = default;
};

/// Protocol state machine of one replica, after Raft (Ongaro and Ousterhout
/// 2014). Deterministic: uses no threads, clocks, files or sockets.
class ConsensusNode {
 public:
  virtual ~ConsensusNode() = default;

  /// Tells the other voters that this replica has started and knows no leader.
  /// To be called once, before the first OnTick().
  virtual ConsensusEffects AnnounceStart() = 0;

  virtual ConsensusEffects OnTick(Instant now) = 0;
  virtual ConsensusEffects OnMessage(const ConsensusMessage& message,
                                     Instant now) = 0;

  /// Starts to take this replica out of the group, as its process is about to
  /// stop. Other messages are still to be passed to the node.
  virtual ConsensusEffects Leave(Instant now) = 0;

  /// @return whether this replica may stop after Leave(): it has no vote any
  /// more, or the group needs its vote and keeps it.
  virtual bool HasLeft() const = 0;

  /// Must be called once all effects returned so far are synced. Counts the
  /// node's own copies of the entries towards the quorum.
  virtual ConsensusEffects OnSynced(Instant now) = 0;

  /// Appends a command to the log.
  /// @param command opaque bytes.
  /// @param effects receives the actions to perform.
  /// @return the entry's term and index; nullopt if this node isn't the leader.
  virtual std::optional<std::pair<Term, LogIndex>> Propose(
      EntryKind kind, std::string command, Instant now,
      ConsensusEffects& effects) = 0;

  /// Requests a linearizable read. The outcome is in `reads` of these or of
  /// later effects.
  /// @param read identifier of the read, returned in ReadGrant::read.
  /// @param effects receives the actions to perform.
  /// @return false if this node isn't the leader.
  virtual bool RequestRead(uint64_t read, Instant now,
                           ConsensusEffects& effects) = 0;

  /// Replaces the log up to and including an applied index by a snapshot.
  /// @param state the state after applying the entry at that index.
  virtual void Compact(LogIndex through, std::string state) = 0;

  /// @return the snapshot on which the log in memory builds.
  virtual const ConsensusSnapshot& LastSnapshot() const = 0;

  /// @return the log entries after LastSnapshot().
  virtual std::vector<LogEntry> EntriesAfterSnapshot() const = 0;

  virtual ReplicaRole Role() const = 0;
  virtual Term CurrentTerm() const = 0;
  virtual LogIndex CommitIndex() const = 0;
  virtual LogIndex LastIndex() const = 0;
  virtual std::optional<MemberId> Leader() const = 0;
  virtual const std::vector<Member>& Members() const = 0;

  /// @return voters that are known to have lost their disks.
  virtual std::vector<MemberId> LostVoters() const = 0;

  /// @return the last index that the member is known to have stored; nullopt
  /// if the member is unknown or this node isn't the leader.
  virtual std::optional<LogIndex> MatchIndex(const MemberId& member) const = 0;

  /// @return the time at which OnTick must be called next.
  virtual Instant NextDeadline() const = 0;
};

/// @param self identifier of this replica.
/// @param restored state read from the data folder, empty for a new replica.
/// @param seed seed of the random election timeouts.
std::unique_ptr<ConsensusNode> MakeConsensusNode(
    const MemberId& self, const ConsensusConfig& config,
    RestoredConsensusState restored, uint64_t seed, Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_CONSENSUS_NODE_H_
