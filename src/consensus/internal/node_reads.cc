#include <algorithm>

#include "consensus/internal/node.h"

namespace hibiscusglade {

void Node::GrantReads() {
  if (role_ != ReplicaRole::kLeader || pending_reads_.empty()) return;
  const uint64_t confirmed = QuorumConfirmedRound();
  std::vector<PendingRead> still_pending;
  for (const PendingRead& read : pending_reads_) {
    if (read.round <= confirmed && read.index <= commit_index_) {
      pending_effects_.reads.push_back({read.read, true, read.index});
    } else {
      still_pending.push_back(read);
    }
  }
  pending_reads_ = std::move(still_pending);
}

void Node::FailReads() {
  for (const PendingRead& read : pending_reads_) {
    pending_effects_.reads.push_back({read.read, false, 0});
  }
  pending_reads_.clear();
}

uint64_t Node::QuorumConfirmedRound() const {
  return ReachedByQuorum([this](const MemberId& voter) {
    if (voter == self_) return round_;
    const auto found = progress_.find(voter);
    return found == progress_.end() ? 0 : found->second.confirmed_round;
  });
}

bool Node::QuorumRepliedSince(Instant since) const {
  std::vector<MemberId> replied{self_};
  for (const auto& [id, progress] : progress_) {
    if (progress.last_reply >= since) replied.push_back(id);
  }
  return IsQuorum(replied);
}

bool Node::IsQuorum(const std::vector<MemberId>& supporters) const {
  return IsQuorumOf(members_, supporters) &&
         (MembersAreCommitted() || IsQuorumOf(previous_members_, supporters));
}

bool Node::IsQuorumOf(const std::vector<Member>& members,
                      const std::vector<MemberId>& supporters) const {
  std::vector<MemberId> voters;
  std::vector<MemberId> supporting;
  for (const Member& member : members) {
    if (!member.voter) continue;
    voters.push_back(member.id);
    if (std::ranges::find(supporters, member.id) != supporters.end()) {
      supporting.push_back(member.id);
    }
  }
  if (2 * supporting.size() > voters.size()) return true;
  return !supporting.empty() && 2 * supporting.size() == voters.size() &&
         lost_.SupportHalf(self_, voters, supporting);
}

uint64_t Node::ReachedByQuorum(
    const std::function<uint64_t(const MemberId&)>& value) const {
  std::vector<std::pair<uint64_t, MemberId>> values;
  for (const Member& member : CountedMembers()) {
    if (member.voter) values.emplace_back(value(member.id), member.id);
  }
  std::ranges::sort(values, std::greater<>());
  std::vector<MemberId> reached;
  for (const auto& [number, voter] : values) {
    reached.push_back(voter);
    if (IsQuorum(reached)) return number;
  }
  return 0;
}

}  // namespace hibiscusglade
