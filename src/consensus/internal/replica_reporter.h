#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_REPLICA_REPORTER_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_REPLICA_REPORTER_H_

#include <optional>
#include <string>
#include <vector>

#include "consensus/consensus_node.h"

namespace hibiscusglade {

/// Logs what changes about one replica and its group.
class ReplicaReporter {
 public:
  /// Logs role, leader and members when one of them has changed, and the voters
  /// that are newly known to have lost their disks.
  /// @param leader address of the leader; empty if none is known.
  /// @return whether role, leader or members have changed.
  bool Report(const ConsensusNode& node, const std::string& leader);

  /// Logs once that the replica may stop.
  void ReportLeft(const ConsensusNode& node);

 private:
  bool ReportRole(const ConsensusNode& node, const std::string& leader);
  void ReportLostVoters(const ConsensusNode& node);

  std::optional<ReplicaRole> role_;
  std::string leader_;
  std::vector<Member> members_;
  std::vector<MemberId> lost_;
  bool left_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_REPLICA_REPORTER_H_
