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

/// Carries consensus messages to other replicas.
class ConsensusLink {
 public:
  virtual ~ConsensusLink() = default;

  /// Sends without waiting; the message may be lost.
  /// @param address control address of the receiver, "ip:port".
  virtual void SendConsensus(const std::string& address,
                             const ConsensusMessage& message) = 0;
};

/// Result of a proposal or read: an error, or the state's encoded answer.
struct ReplicaResult {
  std::error_code error;
  std::string result;
};

using ReplicaCallback = std::function<void(const ReplicaResult&)>;

/// One replica of one group: node, data folder and replicated state together.
/// Single-threaded. Proposals made between two calls of Flush() share one
/// sync.
class Replica {
 public:
  virtual ~Replica() = default;

  virtual void OnTick(Instant now) = 0;
  virtual void OnMessage(const ConsensusMessage& message, Instant now) = 0;

  /// Proposes a command; `done` is called once its outcome is known, with
  /// ConsensusCode::kNotLeader, kOutcomeUnknown or the result.
  virtual void Propose(std::string command, Instant now,
                       ReplicaCallback done) = 0;

  /// Answers a query from a state that no newer leader has overtaken.
  virtual void Read(std::string query, Instant now, ReplicaCallback done) = 0;

  /// Syncs and sends what has gathered, and applies some of what is committed.
  /// Call it once per turn of the loop.
  virtual void Flush(Instant now) = 0;

  /// @return whether committed entries wait to be applied by the next Flush().
  virtual bool Busy() const = 0;

  virtual const ConsensusNode& Node() const = 0;

  /// Replaces the replicas to ask when no leader is known.
  virtual void SetKnown(std::vector<Member> known) = 0;

  /// @return control address of the leader, empty while none is known.
  virtual std::string LeaderAddress() const = 0;

  /// @return the error that ended this replica's service, if any.
  virtual std::error_code Failure() const = 0;
};

/// Writes the founding identity of a replica into an empty data folder. Done
/// once for each replica of a new mesh; never again for the same mesh.
/// @param founders the replicas of the new group, this one among them.
/// @return ConsensusCode::kFolderNotEmpty when the folder was used before.
std::error_code FoundReplica(DataFolder& folder, const std::string& instance,
                             const std::vector<Member>& founders);

/// Opens a replica from its folder. An empty folder gives a new identity
/// without a vote.
/// @param prefix distinguishes the files of groups that share a folder.
/// @param self address and domain of this replica; its identity is ignored.
/// @param known instances and addresses of the replicas in the settings; their
/// identities are ignored. A replica without a vote asks them to take it in.
/// @param error set when the folder is damaged or can't be used.
std::unique_ptr<Replica> OpenReplica(
    DataFolder& folder, const std::string& prefix, const Member& self,
    const std::vector<Member>& known, const ConsensusTimes& times,
    ConsensusLink& link, ReplicatedState& state, uint64_t seed, Instant now,
    std::error_code& error);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_REPLICA_H_
