#include <algorithm>

#include "consensus/consensus_codec.h"
#include "consensus/internal/node.h"
#include "consensus/types/member_list.h"

namespace hibiscusglade {
namespace {

/// Smallest group that tolerates the loss of one voter.
constexpr size_t kMinVoters = 3;

}  // namespace

void Node::OnJoinRequest(const JoinRequest& body, Instant now) {
  // This instance has its disk, so the request is a delayed one from an earlier
  // identity.
  if (body.member.id.instance == self_.instance) return;
  if (lost_.IsNews(body.member.id, CountedMembers())) {
    Send(body.member.id, 0, IdentityRequest{lost_.Nonce()});
  }
  if (role_ != ReplicaRole::kLeader) return;
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

void Node::SetMembers(std::vector<Member> members,
                      std::vector<Member> previous) {
  members_ = std::move(members);
  previous_members_ = std::move(previous);
  lost_.OnMembers(CountedMembers());
  if (role_ == ReplicaRole::kLeader) {
    for (const Member& member : members_) {
      if (member.id == self_ || progress_.contains(member.id)) continue;
      progress_[member.id].next = log_.LastIndex() + 1;
    }
    ForgetUncountedMembers();
    return;
  }
  role_ = IsVoter(self_) ? ReplicaRole::kFollower : ReplicaRole::kNonVoter;
}

bool Node::MembersAreCommitted() const {
  return members_index_ <= std::max(commit_index_, vote_.committed_members);
}

std::vector<Member> Node::CountedMembers() const {
  std::vector<Member> counted = members_;
  if (MembersAreCommitted()) return counted;
  for (const Member& member : previous_members_) {
    const auto is_same = [&member](const Member& other) {
      return other.id == member.id && other.voter >= member.voter;
    };
    if (std::ranges::none_of(counted, is_same)) counted.push_back(member);
  }
  return counted;
}

void Node::ForgetUncountedMembers() {
  const std::vector<Member> counted = CountedMembers();
  std::erase_if(progress_, [&counted](const auto& item) {
    return !HasMember(counted, item.first);
  });
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

std::vector<Member> Node::MembersBefore(LogIndex index) const {
  return index < log_.FirstIndex() ? log_.Snapshot().members
                                   : MembersAt(index - 1).second;
}

void Node::ReadMembersFromLog() {
  auto [index, members] = MembersAt(log_.LastIndex());
  members_index_ = index;
  SetMembers(std::move(members), MembersBefore(index));
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
  if (!HasMember(members_, id)) return;
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

/// Removes the member that has been silent for longest; otherwise a permanently
/// replaced replica would count towards the quorum size forever.
void Node::RemoveUnresponsiveMember(Instant now) {
  const Member* unresponsive = nullptr;
  Duration longest{};
  for (const Member& member : members_) {
    if (member.id == self_) continue;
    Progress& progress = progress_[member.id];
    if (progress.last_reply == Instant{}) progress.last_reply = now;
    const Duration silence = SilenceOf(member.id, now);
    if (silence <= longest) continue;
    if (member.voter ? CanDoWithout(member, silence, now)
                     : silence >= config_.removal_timeout) {
      unresponsive = &member;
      longest = silence;
    }
  }
  if (unresponsive != nullptr) ProposeRemoval(unresponsive->id, now);
}

bool Node::CanDoWithout(const Member& voter, Duration silence,
                        Instant now) const {
  std::vector<Member> others;
  std::vector<MemberId> replying;
  for (const Member& member : members_) {
    if (!member.voter || member.id == voter.id) continue;
    others.push_back(member);
    const bool replies =
        member.id == self_ ||
        SilenceOf(member.id, now) < config_.surplus_removal_timeout;
    if (replies) replying.push_back(member.id);
  }
  if (HasSurplusVoters()) {
    return silence >= config_.surplus_removal_timeout && IsQuorum(replying) &&
           IsQuorumOf(others, replying);
  }
  // One voter fewer than an even number bears as many losses.
  const size_t voters = CountVoters(members_);
  return voters > kMinVoters && voters % 2 == 0 &&
         silence >= config_.removal_timeout && replying.size() == others.size();
}

Duration Node::SilenceOf(const MemberId& member, Instant now) const {
  const auto found = progress_.find(member);
  return found == progress_.end() ? Duration::max()
                                  : now - found->second.last_reply;
}

bool Node::ProposeRemoval(const MemberId& member, Instant now) {
  std::vector<Member> members = members_;
  std::erase_if(members,
                [&member](const Member& other) { return other.id == member; });
  return ProposeMembers(members, now);
}

void Node::OnLostVoters(const MemberId& from,
                        const std::vector<MemberId>& lost) {
  if (!lost.empty()) lost_.OnReport(from, lost, CountedMembers());
}

void Node::OnIdentityRequest(const ConsensusMessage& message,
                             const IdentityRequest& body) {
  Send(message.from, 0, IdentityReply{body.nonce});
}

bool Node::IsVoter(const MemberId& id) const { return HasVoter(members_, id); }

bool Node::HasSurplusVoters() const {
  return CountVoters(members_) > config_.NeededVoters();
}

}  // namespace hibiscusglade
