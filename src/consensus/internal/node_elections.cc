#include <algorithm>

#include "consensus/internal/node.h"
#include "consensus/types/member_list.h"

namespace hibiscusglade {

void Node::StartElection(bool pre_vote, Instant now) {
  role_ = ReplicaRole::kCandidate;
  leader_.reset();
  pre_voting_ = pre_vote;
  votes_ = {self_};
  ResetElectionDeadline(now);
  Term term = vote_.term + 1;
  if (!pre_vote) {
    vote_.term = term;
    vote_.voted_for = self_;
    PersistVote();
  }
  for (const Member& member : CountedMembers()) {
    if (!member.voter || member.id == self_) continue;
    Send(member.id, term,
         VoteRequest{log_.LastIndex(), log_.LastTerm(), pre_vote,
                     start_.VouchedStartOf(member.id), lost_.Known()});
  }
  // A pre-vote promises nothing: who stood before the others had started still
  // hears their notices.
  if (!pre_vote) start_.Close();
  if (!IsQuorum({votes_.begin(), votes_.end()})) return;
  if (pre_vote) {
    StartElection(false, now);
  } else {
    BecomeLeader(now);
  }
}

void Node::BecomeLeader(Instant now) {
  role_ = ReplicaRole::kLeader;
  leader_ = self_;
  progress_.clear();
  for (const Member& member : CountedMembers()) {
    if (member.id == self_) continue;
    Progress progress;
    progress.next = log_.LastIndex() + 1;
    progress.last_reply = now;
    progress_[member.id] = progress;
  }
  term_start_index_ = log_.LastIndex() + 1;
  Append({vote_.term, term_start_index_, EntryKind::kNoop, ""});
  BroadcastAppend(now);
}

void Node::OnVoteRequest(const ConsensusMessage& message,
                         const VoteRequest& body, Instant now) {
  OnLostVoters(message.from, body.lost);
  const bool log_is_current = std::pair(body.last_term, body.last_index) >=
                              std::pair(log_.LastTerm(), log_.LastIndex());
  if (body.pre_vote) {
    const bool granted = message.term > vote_.term && log_is_current;
    Send(message.from, granted ? message.term : vote_.term,
         VoteReply{granted, true, lost_.Known()});
    return;
  }
  const bool vote_available =
      !vote_.voted_for.has_value() || *vote_.voted_for == message.from;
  // A replica that believes itself a non-voter votes, too: the entry that made
  // it a voter may be committed without having reached it. Candidates count the
  // votes of voters only.
  const bool granted =
      message.term == vote_.term && vote_available && log_is_current;
  if (granted) {
    vote_.voted_for = message.from;
    PersistVote();
    start_.Close();
    ResetElectionDeadline(now);
  }
  Send(message.from, vote_.term, VoteReply{granted, false, lost_.Known()});
}

void Node::OnVoteReply(const ConsensusMessage& message, const VoteReply& body,
                       Instant now) {
  if (role_ != ReplicaRole::kCandidate || body.pre_vote != pre_voting_) return;
  const Term expected = pre_voting_ ? vote_.term + 1 : vote_.term;
  if (!body.granted || message.term != expected) return;
  votes_.insert(message.from);
  OnLostVoters(message.from, body.lost);
  if (!IsQuorum({votes_.begin(), votes_.end()})) return;
  if (pre_voting_) {
    StartElection(false, now);
  } else {
    BecomeLeader(now);
  }
}

bool Node::HasRecentLeaderContact(Instant now) const {
  if (role_ == ReplicaRole::kLeader) return true;
  return leader_.has_value() &&
         now - last_leader_contact_ < config_.election_timeout_min;
}

bool Node::MayDisrupt(const VoteRequest& body, Instant now) const {
  if (HasRecentLeaderContact(now)) return true;
  return now < ignore_votes_until_ && body.receiver_start != start_.Id();
}

ConsensusEffects Node::AnnounceStart() {
  if (!IsVoter(self_)) return {};
  for (const Member& member : members_) {
    if (member.voter && member.id != self_) SendStartNotice(member.id, 0);
  }
  return TakeEffects();
}

void Node::OnStartNotice(const ConsensusMessage& message,
                         const StartNotice& body, Instant now) {
  if (role_ == ReplicaRole::kLeader) {
    // It has forgotten this leader; the next heartbeat would tell it later.
    if (progress_.contains(message.from)) SendAppend(message.from, now);
    return;
  }
  if (HasRecentLeaderContact(now) || !IsVoter(message.from)) return;
  if (start_.MustAnswer(message.from, body)) {
    SendStartNotice(message.from, body.start);
  }
  if (!start_.OnNotice(message.from, message.term, body)) return;
  ActOnStartNotices(now);
}

void Node::SendStartNotice(const MemberId& to, uint64_t heard) {
  Send(to, vote_.term,
       StartNotice{log_.LastIndex(), log_.LastTerm(), start_.Id(), heard});
}

void Node::ActOnStartNotices(Instant now) {
  const size_t voters = start_.Heard() + 1;
  const size_t all = CountVoters(members_);
  if (!IsVoter(self_) || voters <= all / 2) return;
  const bool best = start_.IsBest(log_.LastTerm(), log_.LastIndex());
  if (best && voters == all) {
    // No pre-vote: all have told what it would ask for.
    vote_.term = std::max(vote_.term, start_.HighestTerm());
    start_.Vouch();
    StartElection(false, now);
  } else if (best) {
    // A leader may live among the others, and has until then to show itself.
    election_deadline_ =
        std::min(election_deadline_, now + config_.startup_timeout_min);
  } else {
    election_deadline_ =
        std::max(election_deadline_, now + config_.startup_timeout_max);
  }
}

}  // namespace hibiscusglade
