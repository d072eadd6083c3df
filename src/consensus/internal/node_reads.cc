#include <algorithm>

#include "consensus/internal/node.h"

namespace hibiscusglade {

void Node::GrantReads() {
  if (role_ != ReplicaRole::kLeader) return;
  const uint64_t confirmed = QuorumRound();
  std::vector<PendingRead> waiting;
  for (const PendingRead& read : pending_reads_) {
    if (read.round <= confirmed && read.index <= commit_index_) {
      out_.reads.push_back({read.read, true, read.index});
    } else {
      waiting.push_back(read);
    }
  }
  pending_reads_ = std::move(waiting);
}

void Node::FailReads() {
  for (const PendingRead& read : pending_reads_) {
    out_.reads.push_back({read.read, false, 0});
  }
  pending_reads_.clear();
}

uint64_t Node::QuorumRound() const {
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

bool Node::QuorumAnsweredSince(Instant since) const {
  size_t answered = 0;
  for (const Member& member : members_) {
    if (!member.voter) continue;
    auto found = progress_.find(member.id);
    const bool fresh =
        member.id == self_ ||
        (found != progress_.end() && found->second.last_reply >= since);
    if (fresh) ++answered;
  }
  return answered >= QuorumSize();
}

}  // namespace hibiscusglade
