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
  /// @param founds whether an empty folder is founded with the known replicas,
  /// if this one is among them.
  /// @param claims whether the ledger of claims is kept as well.
  std::error_code Open(const std::string& path, const Member& self,
                       const std::vector<Member>& known, bool founds,
                       bool claims, uint64_t seed, Instant now);

  /// Replaces the replicas to ask when no leader is known.
  void SetKnown(const std::vector<Member>& known);

  void OnTick(Instant now);
  void OnMessage(GroupId group, const ConsensusMessage& message, Instant now);

  /// Proposes or reads at the local replica.
  void Submit(const GroupRequest& request, Instant now, ReplicaCallback done);

  void Flush(Instant now);

  /// @return whether Flush() has left work for the next turn.
  bool Busy() const;

  std::string LeaderAddress(GroupId group) const;
  ReplicaRole Role(GroupId group) const;
  const VersionLedger& Versions() const { return versions_; }

 private:
  class GroupLink : public ConsensusLink {
   public:
    GroupLink(GroupId group, const ConsensusSender& sender)
        : group_(group), sender_(sender) {}
    void SendConsensus(const std::string& address,
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
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_REPLICA_HOST_H_
