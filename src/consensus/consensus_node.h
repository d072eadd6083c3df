#ifndef HIBISCUSGLADE_CONSENSUS_CONSENSUS_NODE_H_
#define HIBISCUSGLADE_CONSENSUS_CONSENSUS_NODE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

/// Times of the consensus protocol.
struct ConsensusTimes {
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election_lowest = std::chrono::milliseconds(600);
  Duration election_highest = std::chrono::milliseconds(1200);
  /// Entries that are not answered are sent again, each time after twice the
  /// time up to this one: a slow member must be able to finish what it has.
  Duration longest_resend = std::chrono::milliseconds(2400);
  /// A started replica hears of a living leader within a few heartbeats; if it
  /// does not, it stands for election between these times after its start.
  Duration start_lowest = std::chrono::milliseconds(250);
  Duration start_highest = std::chrono::milliseconds(500);
  /// A member that has not answered for this long is taken out of the group
  /// where enough others are there. It asks to be taken in again when it lives.
  Duration retire_after = std::chrono::seconds(4);
};

/// What a node needs to start again.
struct ConsensusRestored {
  VoteState vote;
  std::optional<ConsensusSnapshot> snapshot;
  std::vector<LogEntry> entries;  ///< After the snapshot, without a gap.
  std::vector<Member> founders;   ///< Members where there is no snapshot.
};

/// A read that may be answered from the state applied through an index.
struct ReadGrant {
  uint64_t read = 0;
  bool granted = false;  ///< False when leadership was lost meanwhile.
  LogIndex index = 0;

  friend bool operator==(const ReadGrant&, const ReadGrant&) = default;
};

/// What the caller of a node must do, in the order of the fields. Messages
/// must not leave before `vote`, `append` and `install` are synced.
struct ConsensusEffects {
  std::optional<VoteState> vote;
  std::optional<ConsensusSnapshot> install;  ///< Replaces state and log.
  /// Entries to write; they replace any stored entry from the first index on.
  std::vector<LogEntry> append;
  std::vector<ConsensusMessage> send;
  std::vector<LogEntry> committed;  ///< To apply, in order.
  std::vector<ReadGrant> reads;

  friend bool operator==(const ConsensusEffects&,
                         const ConsensusEffects&) = default;
};

/// One replica's part in a replicated log, in the manner of Raft (Ongaro and
/// Ousterhout 2014). Deterministic: no threads, clocks, files or sockets.
class ConsensusNode {
 public:
  virtual ~ConsensusNode() = default;

  virtual ConsensusEffects OnTick(Instant now) = 0;
  virtual ConsensusEffects OnMessage(const ConsensusMessage& message,
                                     Instant now) = 0;

  /// Tells that all effects returned so far are synced; counts the node's own
  /// copies towards the quorum.
  virtual ConsensusEffects OnSynced(Instant now) = 0;

  /// Adds a command to the log.
  /// @param command opaque bytes.
  /// @param effects receives what to do.
  /// @return the entry's term and index; nullopt when this node is no leader.
  virtual std::optional<std::pair<Term, LogIndex>> Propose(
      EntryKind kind, std::string command, Instant now,
      ConsensusEffects& effects) = 0;

  /// Asks for a read that no newer leader can have overtaken. The grant comes
  /// in `reads` of a later effect.
  /// @return false when this node is no leader.
  virtual bool RequestRead(uint64_t read, Instant now,
                           ConsensusEffects& effects) = 0;

  /// Replaces the log through an applied index by a snapshot of the state.
  virtual void Compact(LogIndex through, std::string state) = 0;

  /// @return the snapshot that the log in memory starts from.
  virtual const ConsensusSnapshot& LastSnapshot() const = 0;

  /// @return the entries after that snapshot.
  virtual std::vector<LogEntry> EntriesAfterSnapshot() const = 0;

  virtual ReplicaRole Role() const = 0;
  virtual Term CurrentTerm() const = 0;
  virtual LogIndex CommitIndex() const = 0;
  virtual LogIndex LastIndex() const = 0;
  virtual std::optional<MemberId> Leader() const = 0;
  virtual const std::vector<Member>& Members() const = 0;

  /// @return how far each other member is known to hold the log; leader only.
  virtual std::optional<LogIndex> MatchIndex(const MemberId& member) const = 0;

  /// @return the time after which OnTick must be called.
  virtual Instant NextDeadline() const = 0;
};

/// @param self this replica.
/// @param restored state read from the data folder, empty for a new one.
/// @param seed seed of the election timeouts.
std::unique_ptr<ConsensusNode> MakeConsensusNode(const MemberId& self,
                                                 const ConsensusTimes& times,
                                                 ConsensusRestored restored,
                                                 uint64_t seed, Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_CONSENSUS_NODE_H_
