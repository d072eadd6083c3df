#include <algorithm>

#include "consensus/internal/node.h"

namespace hibiscusglade {

void Node::GrantReads() {
  if (role_ != ReplicaRole::kLeader) return;
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
  std::vector<uint64_t> rounds;
  for (const Member& member : members_) {
    if (!member.voter) continue;
    auto found = progress_.find(member.id);
    if (member.id == self_) {
      rounds.push_back(round_);
    } else {
      rounds.push_back(
          found == progress_.end() ? 0 : found->second.confirmed_round);
    }
  }
  if (rounds.empty()) return 0;
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  return rounds[QuorumSize() - 1];
}

bool Node::QuorumRepliedSince(Instant since) const {
  size_t replied = 0;
  for (const Member& member : members_) {
    if (!member.voter) continue;
    auto found = progress_.find(member.id);
    const bool replied_since =
        member.id == self_ ||
        (found != progress_.end() && found->second.last_reply >= since);
    if (replied_since) ++replied;
  }
  return replied >= QuorumSize();
}

}  // namespace hibiscusglade
