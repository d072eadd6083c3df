#include "consensus/internal/replica_reporter.h"

#include <utility>

#include "base/log.h"

namespace hibiscusglade {
namespace {

std::string TextOf(const std::vector<Member>& members) {
  std::string text;
  for (const Member& member : members) {
    if (!text.empty()) text += ", ";
    text += member.id.instance + (member.voter ? "" : " (non-voter)");
  }
  return text;
}

}  // namespace

bool ReplicaReporter::Report(const ConsensusNode& node,
                             const std::string& leader) {
  const bool changed = ReportRole(node, leader);
  ReportLostVoters(node);
  return changed;
}

bool ReplicaReporter::ReportRole(const ConsensusNode& node,
                                 const std::string& leader) {
  if (node.Role() == role_ && leader == leader_ && node.Members() == members_) {
    return false;
  }
  role_ = node.Role();
  leader_ = leader;
  members_ = node.Members();
  Log(LogLevel::kInfo, "consensus",
      "The replica is " + NameOf(*role_) + " in term " +
          std::to_string(node.CurrentTerm()) + ", committed through " +
          std::to_string(node.CommitIndex()) + ", leader " +
          (leader.empty() ? "unknown" : leader) + ", members " +
          TextOf(members_) + ".");
  return true;
}

void ReplicaReporter::ReportLeft(const ConsensusNode& node) {
  if (std::exchange(left_, true)) return;
  Log(LogLevel::kInfo, "consensus",
      "The replica may stop; its group has " +
          std::to_string(node.Members().size()) + " members.");
}

void ReplicaReporter::ReportLostVoters(const ConsensusNode& node) {
  const std::vector<MemberId> lost = node.LostVoters();
  if (lost == lost_) return;
  for (const MemberId& id : lost) {
    Log(LogLevel::kWarning, "consensus",
        "The voter " + id.instance +
            " has lost its disk; its vote doesn't count any more.");
  }
  lost_ = lost;
}

}  // namespace hibiscusglade
