#include <algorithm>

#include "consensus/consensus_codec.h"
#include "consensus/internal/node.h"

namespace hibiscusglade {
namespace {

/// Smallest group that tolerates the loss of one voter.
constexpr size_t kMinVoters = 3;

}  // namespace

void Node::OnJoinRequest(const JoinRequest& body, Instant now) {
  if (role_ != ReplicaRole::kLeader) return;
  // This instance has its disk, so the request is a delayed one from an earlier
  // identity.
  if (body.member.id.instance == self_.instance) return;
  std::vector<Member> members;
  for (const Member& member : members_) {
    if (member.id == body.member.id) return;
    // The joining replica replaces the identity that its instance had before it
    // lost its disk.
    if (member.id.instance != body.member.id.instance) {
      members.push_back(member);
    }
  }
  Member joining = body.member;
  joining.voter = false;
  members.push_back(joining);
  ProposeMembers(members, now);
}

void Node::SetMembers(std::vector<Member> members) {
  members_ = std::move(members);
  if (role_ == ReplicaRole::kLeader) {
    for (const Member& member : members_) {
      if (member.id == self_ || progress_.contains(member.id)) continue;
      progress_[member.id].next = log_.LastIndex() + 1;
    }
    std::erase_if(progress_, [this](const auto& item) {
      return std::none_of(
          members_.begin(), members_.end(),
          [&item](const Member& member) { return member.id == item.first; });
    });
    return;
  }
  role_ = IsVoter(self_) ? ReplicaRole::kFollower : ReplicaRole::kNonVoter;
}

std::pair<LogIndex, std::vector<Member>> Node::MembersAt(LogIndex index) const {
  for (; index >= log_.FirstIndex(); --index) {
    const LogEntry& entry = log_.At(index);
    if (entry.kind == EntryKind::kMembers) {
      return {index, DecodeMembers(entry.command)};
    }
  }
  return {log_.Snapshot().last_index, log_.Snapshot().members};
}

void Node::ReadMembersFromLog() {
  auto [index, members] = MembersAt(log_.LastIndex());
  members_index_ = index;
  SetMembers(std::move(members));
}

bool Node::ProposeMembers(const std::vector<Member>& members, Instant now) {
  // Changes are made one at a time, and only after an entry of this term has
  // been committed.
  const bool change_pending = members_index_ > commit_index_;
  if (change_pending || commit_index_ < term_start_index_) return false;
  const LogIndex index = log_.LastIndex() + 1;
  Append({vote_.term, index, EntryKind::kMembers, EncodeMembers(members)});
  BroadcastAppend(now);
  return true;
}

void Node::PromoteIfCaughtUp(const MemberId& id, uint64_t round, Instant now) {
  auto found = progress_.find(id);
  if (found == progress_.end() || IsVoter(id)) return;
  Progress& progress = found->second;
  if (progress.match < commit_index_) {
    progress.caught_up_round = 0;
    return;
  }
  // Being caught up once may be coincidence, so the member must also be caught
  // up in its reply to a round sent after that.
  if (progress.caught_up_round == 0) progress.caught_up_round = round_;
  if (round <= progress.caught_up_round) return;
  std::vector<Member> members = members_;
  for (Member& member : members) {
    if (member.id == id) member.voter = true;
  }
  ProposeMembers(members, now);
}

/// Removes a member that has not replied for `removal_timeout`; otherwise a
/// permanently replaced replica would count towards the quorum size forever. A
/// voter is removed only while all other voters reply and at least kMinVoters
/// remain, so that the group tolerates at least as many further losses as
/// before.
void Node::RemoveUnresponsiveMember(Instant now) {
  size_t voters = 0;
  const Member* unresponsive = nullptr;
  for (const Member& member : members_) {
    if (member.voter) ++voters;
    if (member.id == self_) continue;
    Progress& progress = progress_[member.id];
    if (progress.last_reply == Instant{}) progress.last_reply = now;
    const Duration silence = now - progress.last_reply;
    if (silence >= times_.removal_timeout && unresponsive == nullptr) {
      unresponsive = &member;
    } else if (member.voter && silence > times_.election_timeout_max) {
      return;
    }
  }
  if (unresponsive == nullptr) return;
  if (unresponsive->voter && voters <= kMinVoters) return;
  std::vector<Member> members = members_;
  std::erase_if(members, [unresponsive](const Member& member) {
    return member.id == unresponsive->id;
  });
  ProposeMembers(members, now);
}

bool Node::IsVoter(const MemberId& id) const {
  return std::any_of(
      members_.begin(), members_.end(),
      [&id](const Member& member) { return member.id == id && member.voter; });
}

size_t Node::QuorumSize() const {
  auto voters = std::count_if(members_.begin(), members_.end(),
                              [](const Member& m) { return m.voter; });
  return static_cast<size_t>(voters) / 2 + 1;
}

}  // namespace hibiscusglade
