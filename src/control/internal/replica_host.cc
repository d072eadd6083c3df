#include "control/internal/replica_host.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {

ReplicaHost::ReplicaHost(ConsensusSender sender,
                         VersionLedger::Listener listener)
    : sender_(std::move(sender)), versions_(std::move(listener)) {
  for (GroupId group : {GroupId::kVersions, GroupId::kClaims}) {
    links_.emplace(group, GroupLink(group, sender_));
  }
}

std::error_code ReplicaHost::Open(const std::string& path, const Member& self,
                                  const std::vector<Member>& known,
                                  bool found_group, bool serve_claims,
                                  const ConsensusConfig& consensus,
                                  uint64_t seed, Instant now) {
  std::error_code error;
  folder_ = OpenDataFolder(path, error);
  if (error) return error;
  const bool is_listed = std::any_of(
      known.begin(), known.end(),
      [&self](const Member& m) { return m.id.instance == self.id.instance; });
  if (found_group && is_listed && folder_->Names().empty()) {
    error = FoundReplica(*folder_, self.id.instance, known);
    if (error) return error;
    Log(LogLevel::kInfo, "control",
        "Founding a new group of " + std::to_string(known.size()) +
            " replicas.");
  }
  auto open_replica = [&](GroupId group, const char* prefix,
                          ReplicatedState& state) {
    if (error) return;
    const uint64_t group_seed = seed + static_cast<uint64_t>(group);
    replicas_[group] =
        OpenReplica(*folder_, prefix, self, known, consensus, links_.at(group),
                    state, group_seed, now, error);
  };
  open_replica(GroupId::kVersions, "versions-", versions_);
  if (serve_claims) open_replica(GroupId::kClaims, "claims-", claims_);
  return error;
}

void ReplicaHost::SetKnownReplicas(const std::vector<Member>& known) {
  for (auto& [group, replica] : replicas_) replica->SetKnownReplicas(known);
}

void ReplicaHost::OnTick(Instant now) {
  for (auto& [group, replica] : replicas_) replica->OnTick(now);
}

void ReplicaHost::OnMessage(GroupId group, const ConsensusMessage& message,
                            Instant now) {
  auto found = replicas_.find(group);
  if (found != replicas_.end()) found->second->OnMessage(message, now);
}

void ReplicaHost::Submit(const GroupRequest& request, Instant now,
                         ReplicaCallback done) {
  auto found = replicas_.find(request.group);
  if (found == replicas_.end()) {
    done({ConsensusCode::kNotLeader, ""});
    return;
  }
  Replica& replica = *found->second;
  const bool leader_known = !replica.LeaderAddress().empty();
  if (held_reads_[request.group].Hold(request, leader_known, now, done)) {
    return;
  }
  if (request.read) {
    replica.Read(request.command, now, std::move(done));
  } else {
    replica.Propose(request.command, now, std::move(done));
  }
}

void ReplicaHost::Flush(Instant now) {
  for (auto& [group, replica] : replicas_) {
    AnswerHeldReads(group, *replica, now);
    replica->Flush(now);
  }
}

void ReplicaHost::AnswerHeldReads(GroupId group, Replica& replica,
                                  Instant now) {
  const bool leader_known = !replica.LeaderAddress().empty();
  for (HeldReads::Held& held : held_reads_[group].TakeDue(leader_known, now)) {
    replica.Read(held.request.command, now, std::move(held.done));
  }
}

bool ReplicaHost::HasUnappliedEntries() const {
  return std::any_of(replicas_.begin(), replicas_.end(), [](const auto& item) {
    return item.second->HasUnappliedEntries();
  });
}

void ReplicaHost::Leave(Instant now) {
  for (auto& [group, replica] : replicas_) replica->Leave(now);
}

bool ReplicaHost::HasLeft() const {
  return std::ranges::all_of(
      replicas_, [](const auto& item) { return item.second->HasLeft(); });
}

std::string ReplicaHost::LeaderAddress(GroupId group) const {
  auto found = replicas_.find(group);
  return found == replicas_.end() ? "" : found->second->LeaderAddress();
}

ReplicaRole ReplicaHost::Role(GroupId group) const {
  return replicas_.at(group)->Node().Role();
}

}  // namespace hibiscusglade
