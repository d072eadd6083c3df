#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_REPLICA_HOST_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_REPLICA_HOST_H_

#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "base/data_folder.h"
#include "claims/claim_ledger.h"
#include "consensus/replica.h"
#include "control/internal/group_client.h"
#include "control/internal/held_reads.h"
#include "versions/version_ledger.h"

namespace hibiscusglade {

/// Sends a consensus message of a group to a control address.
using ConsensusSender = std::function<void(
    GroupId group, const std::string& address, const ConsensusMessage&)>;

/// The replicas of all groups on an instance with a data folder.
class ReplicaHost {
 public:
  ReplicaHost(ConsensusSender sender, VersionLedger::Listener listener);

  /// Opens the data folder and the replicas in it.
  /// @param known the replicas named in the settings.
  /// @param found_group whether to found a new group of the `known` replicas
  /// when the folder is empty and `self` is one of them.
  /// @param serve_claims whether to open a replica of the claims group as well.
  /// @param consensus size and times of the groups.
  std::error_code Open(const std::string& path, const Member& self,
                       const std::vector<Member>& known, bool found_group,
                       bool serve_claims, const ConsensusConfig& consensus,
                       uint64_t seed, Instant now);

  /// Replaces the replicas that are asked when no leader is known.
  void SetKnownReplicas(const std::vector<Member>& known);

  void OnTick(Instant now);
  void OnMessage(GroupId group, const ConsensusMessage& message, Instant now);

  /// Submits a proposal or read to the local replica of the group. A read may
  /// be held while the replica has known no leader since it started.
  void Submit(const GroupRequest& request, Instant now, ReplicaCallback done);

  /// Syncs and sends what the replicas have gathered, and applies some of the
  /// committed entries. Called once per iteration of the control loop.
  void Flush(Instant now);

  /// @return whether Flush() has left committed entries to be applied.
  bool HasUnappliedEntries() const;

  /// Starts to take the replicas out of their groups before a stop.
  void Leave(Instant now);

  /// @return whether all replicas may stop after Leave().
  bool HasLeft() const;

  std::string LeaderAddress(GroupId group) const;
  ReplicaRole Role(GroupId group) const;
  const VersionLedger& Versions() const { return versions_; }

 private:
  void AnswerHeldReads(GroupId group, Replica& replica, Instant now);

  class GroupLink : public ConsensusTransport {
   public:
    GroupLink(GroupId group, const ConsensusSender& sender)
        : group_(group), sender_(sender) {}
    void SendConsensusMessage(const std::string& address,
                              const ConsensusMessage& message) override {
      sender_(group_, address, message);
    }

   private:
    GroupId group_;
    const ConsensusSender& sender_;
  };

  ConsensusSender sender_;
  VersionLedger versions_;
  ClaimLedger claims_;
  std::unique_ptr<DataFolder> folder_;
  std::map<GroupId, GroupLink> links_;
  std::map<GroupId, std::unique_ptr<Replica>> replicas_;
  std::map<GroupId, HeldReads> held_reads_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_REPLICA_HOST_H_
