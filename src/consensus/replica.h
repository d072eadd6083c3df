#ifndef HIBISCUSGLADE_CONSENSUS_REPLICA_H_
#define HIBISCUSGLADE_CONSENSUS_REPLICA_H_

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "base/data_folder.h"
#include "consensus/consensus_node.h"
#include "consensus/replicated_state.h"

namespace hibiscusglade {

/// Transport for consensus messages to other replicas.
class ConsensusTransport {
 public:
  virtual ~ConsensusTransport() = default;

  /// Sends without blocking; the message may be lost.
  /// @param address control address of the receiver, "ip:port".
  virtual void SendConsensusMessage(const std::string& address,
                                    const ConsensusMessage& message) = 0;
};

/// Result of a proposal or read: an error, or the encoded answer of the state.
struct ReplicaResult {
  std::error_code error;
  std::string result;
};

using ReplicaCallback = std::function<void(const ReplicaResult&)>;

/// One replica of a group: connects its node, data folder and replicated state.
/// Single-threaded. Proposals made between two calls of Flush() share one sync.
class Replica {
 public:
  virtual ~Replica() = default;

  virtual void OnTick(Instant now) = 0;
  virtual void OnMessage(const ConsensusMessage& message, Instant now) = 0;

  /// Proposes a command.
  /// @param done called once, with the result, ConsensusCode::kNotLeader if the
  /// command will not be applied, or kOutcomeUnknown if it may still be.
  virtual void Propose(std::string command, Instant now,
                       ReplicaCallback done) = 0;

  /// Answers a query linearizably: leadership is confirmed first.
  /// @param done called once, with the answer, ConsensusCode::kNotLeader or
  /// kNoQuorum.
  virtual void Read(std::string query, Instant now, ReplicaCallback done) = 0;

  /// Syncs pending writes, sends pending messages and applies a bounded number
  /// of committed entries. Must be called once per event loop iteration.
  virtual void Flush(Instant now) = 0;

  /// @return whether committed entries are left for the next Flush() to apply.
  virtual bool HasUnappliedEntries() const = 0;

  virtual const ConsensusNode& Node() const = 0;

  /// Starts to take this replica out of the group before its process stops.
  virtual void Leave(Instant now) = 0;

  /// @return whether this replica may stop after Leave(): it has no vote any
  /// more, the group keeps its vote, or it can't tell the group.
  virtual bool HasLeft() const = 0;

  /// Replaces the replicas that are asked when no leader is known: at first
  /// those of the settings, see OpenReplica(), later also those that the
  /// membership lists.
  virtual void SetKnownReplicas(std::vector<Member> known_replicas) = 0;

  /// @return control address of the leader; empty if none is known or this
  /// replica has paused or failed.
  virtual std::string LeaderAddress() const = 0;

  /// @return the storage error that stopped this replica, if any.
  virtual std::error_code Failure() const = 0;
};

/// Writes the identity of a founding replica into an empty data folder. Must be
/// done only once for each replica of a new mesh.
/// @param founders the replicas of the new group, including this one.
/// @return ConsensusCode::kFolderNotEmpty if the folder was used before.
std::error_code FoundReplica(DataFolder& folder, const std::string& instance,
                             const std::vector<Member>& founders);

/// Opens a replica from its folder. If the folder is empty or the group's files
/// are damaged, the replica gets a new identity and starts as a non-voter.
/// @param prefix distinguishes the files of groups that share a folder.
/// @param self address and domain of this replica; its identity is ignored.
/// @param configured instances and addresses of the replicas in the settings;
/// their identities are ignored. A non-voter, or a replica without a leader,
/// sends them join requests.
/// @param error set if the folder can't be used or another file is damaged.
std::unique_ptr<Replica> OpenReplica(
    DataFolder& folder, const std::string& prefix, const Member& self,
    const std::vector<Member>& configured, const ConsensusConfig& config,
    ConsensusTransport& transport, ReplicatedState& state, uint64_t seed,
    Instant now, std::error_code& error);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_REPLICA_H_
