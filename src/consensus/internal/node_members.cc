#include <algorithm>

#include "consensus/consensus_codec.h"
#include "consensus/internal/node.h"

namespace hibiscusglade {
namespace {

/// One loss can be borne with these.
constexpr size_t kLeastVoters = 3;

}  // namespace

void Node::OnJoinRequest(const JoinRequest& body, Instant now) {
  if (role_ != ReplicaRole::kLeader) return;
  // This instance holds its disk, so the request is a late one.
  if (body.member.id.instance == self_.instance) return;
  std::vector<Member> members;
  for (const Member& member : members_) {
    if (member.id == body.member.id) return;
    // An older identity of the same instance has lost its disk.
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
  // One change at a time, and only once this term has committed an entry.
  const bool change_open = members_index_ > commit_index_;
  if (change_open || commit_index_ < term_start_index_) return false;
  const LogIndex index = log_.LastIndex() + 1;
  Append({vote_.term, index, EntryKind::kMembers, EncodeMembers(members)});
  BroadcastAppend(now);
  return true;
}

void Node::PromoteCaughtUp(const MemberId& id, uint64_t round, Instant now) {
  auto found = progress_.find(id);
  if (found == progress_.end() || IsVoter(id)) return;
  Progress& progress = found->second;
  if (progress.match < commit_index_) {
    progress.caught_up_round = 0;
    return;
  }
  // Once may be chance: it must keep up with a round asked after that.
  if (progress.caught_up_round == 0) progress.caught_up_round = round_;
  if (round <= progress.caught_up_round) return;
  std::vector<Member> members = members_;
  for (Member& member : members) {
    if (member.id == id) member.voter = true;
  }
  ProposeMembers(members, now);
}

/// A replica that was replaced for good would count for the quorum for ever.
/// A voter goes only while all others answer and enough of them are left, so
/// that its loss is no larger than it was.
void Node::RetireSilentMember(Instant now) {
  size_t voters = 0;
  const Member* silent = nullptr;
  for (const Member& member : members_) {
    if (member.voter) ++voters;
    if (member.id == self_) continue;
    Progress& progress = progress_[member.id];
    if (progress.last_reply == Instant{}) progress.last_reply = now;
    const Duration silence = now - progress.last_reply;
    if (silence >= times_.retire_after && silent == nullptr) {
      silent = &member;
    } else if (member.voter && silence > times_.election_highest) {
      return;
    }
  }
  if (silent == nullptr) return;
  if (silent->voter && voters <= kLeastVoters) return;
  std::vector<Member> members = members_;
  std::erase_if(members, [silent](const Member& member) {
    return member.id == silent->id;
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
