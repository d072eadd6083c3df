#include "consensus/internal/node.h"

namespace hibiscusglade {

ConsensusEffects Node::Leave(Instant now) {
  leaving_ = true;
  RequestToLeave(now);
  return TakeEffects();
}

bool Node::HasLeft() const {
  if (!leaving_) return false;
  const bool has_no_vote = !IsVoter(self_) && MembersAreCommitted();
  return removed_.has_value() || has_no_vote;
}

void Node::RequestToLeave(Instant now) {
  if (!leaving_ || HasLeft() || now < next_leave_request_) return;
  next_leave_request_ = now + config_.heartbeat_interval;
  if (role_ != ReplicaRole::kLeader) {
    if (leader_.has_value()) Send(*leader_, 0, LeaveRequest{start_.Id()});
    return;
  }
  if (HasSurplusVoters()) {
    ProposeRemoval(self_, now);
  } else {
    removed_ = false;
  }
}

void Node::OnLeaveRequest(const ConsensusMessage& message,
                          const LeaveRequest& body, Instant now) {
  if (role_ != ReplicaRole::kLeader) return;
  if (!IsVoter(message.from)) {
    // Until then the removal may still be taken back by another leader.
    if (!MembersAreCommitted()) return;
    Send(message.from, 0, LeaveReply{body.start, true});
  } else if (HasSurplusVoters()) {
    ProposeRemoval(message.from, now);
  } else {
    Send(message.from, 0, LeaveReply{body.start, false});
  }
}

void Node::OnLeaveReply(const LeaveReply& body) {
  if (leaving_ && body.start == start_.Id()) removed_ = body.removed;
}

void Node::StepDownIfRemoved(Instant now) {
  if (role_ != ReplicaRole::kLeader || IsVoter(self_)) return;
  if (!MembersAreCommitted()) return;
  removed_ = true;
  // Tells the others that the entry is committed, so that its members alone
  // elect the next leader.
  BroadcastAppend(now);
  BecomeFollower(vote_.term, std::nullopt, now);
}

}  // namespace hibiscusglade
