#include "consensus/internal/node.h"

#include <algorithm>

#include "consensus/consensus_codec.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMaxEntriesPerMessage = 256;
constexpr size_t kMaxBytesPerMessage = 512 * 1024;

ConsensusSnapshot InitialSnapshot(RestoredConsensusState& restored) {
  if (restored.snapshot.has_value()) return std::move(*restored.snapshot);
  return {0, 0, std::move(restored.founders), ""};
}

}  // namespace

Node::Node(MemberId self, const ConsensusConfig& config,
           RestoredConsensusState restored, uint64_t seed, Instant now)
    : self_(std::move(self)),
      config_(config),
      random_(seed),
      vote_(std::move(restored.vote)),
      log_(InitialSnapshot(restored), std::move(restored.entries)),
      commit_index_(log_.Snapshot().last_index),
      synced_index_(log_.LastIndex()),
      last_leader_contact_(now - config.election_timeout_max),
      ignore_votes_until_(now + config.startup_timeout_min),
      start_(self_, seed == 0 ? 1 : seed),
      lost_(~seed) {
  ReadMembersFromLog();
  election_deadline_ = now + RandomBetween(config_.startup_timeout_min,
                                           config_.startup_timeout_max);
}

ConsensusEffects Node::OnTick(Instant now) {
  if (role_ == ReplicaRole::kLeader) {
    if (!QuorumRepliedSince(now - config_.election_timeout_max)) {
      BecomeFollower(vote_.term, std::nullopt, now);
      return TakeEffects();
    }
    RemoveUnresponsiveMember(now);
    RequestToLeave(now);
    if (now >= heartbeat_deadline_) BroadcastAppend(now);
    return TakeEffects();
  }
  RequestToLeave(now);
  const bool may_stand = IsVoter(self_) && !removed_.value_or(false);
  if (now >= election_deadline_ && may_stand) StartElection(true, now);
  return TakeEffects();
}

ConsensusEffects Node::OnMessage(const ConsensusMessage& message, Instant now) {
  if (message.to != self_ &&
      !std::holds_alternative<JoinRequest>(message.body)) {
    return {};
  }
  const auto* vote_request = std::get_if<VoteRequest>(&message.body);
  const auto* vote_reply = std::get_if<VoteReply>(&message.body);
  const auto* notice = std::get_if<StartNotice>(&message.body);
  const bool of_no_term =
      notice != nullptr ||
      (vote_request != nullptr && vote_request->pre_vote) ||
      (vote_reply != nullptr && vote_reply->pre_vote && vote_reply->granted);
  if (vote_request != nullptr && MayDisrupt(*vote_request, now)) return {};
  if (message.term > vote_.term && !of_no_term) {
    BecomeFollower(message.term, std::nullopt, now);
  }
  if (vote_request != nullptr) {
    OnVoteRequest(message, *vote_request, now);
  } else if (vote_reply != nullptr) {
    OnVoteReply(message, *vote_reply, now);
  } else if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    OnAppendRequest(message, *append, now);
  } else if (const auto* reply = std::get_if<AppendReply>(&message.body)) {
    OnAppendReply(message, *reply, now);
  } else if (const auto* install =
                 std::get_if<InstallSnapshot>(&message.body)) {
    OnInstallSnapshot(message, *install, now);
  } else if (const auto* join = std::get_if<JoinRequest>(&message.body)) {
    OnJoinRequest(*join, now);
  } else if (notice != nullptr) {
    OnStartNotice(message, *notice, now);
  } else if (const auto* question =
                 std::get_if<IdentityRequest>(&message.body)) {
    OnIdentityRequest(message, *question);
  } else if (const auto* identity = std::get_if<IdentityReply>(&message.body)) {
    lost_.OnIdentityReply(message.from, identity->nonce, CountedMembers());
  } else if (const auto* leave = std::get_if<LeaveRequest>(&message.body)) {
    OnLeaveRequest(message, *leave, now);
  } else if (const auto* left = std::get_if<LeaveReply>(&message.body)) {
    OnLeaveReply(*left);
  }
  return TakeEffects();
}

ConsensusEffects Node::OnSynced(Instant now) {
  synced_index_ = log_.LastIndex();
  if (role_ == ReplicaRole::kLeader) {
    AdvanceCommit(now);
    ReplicateToIdleMembers(now);
  }
  return TakeEffects();
}

std::optional<std::pair<Term, LogIndex>> Node::Propose(
    EntryKind kind, std::string command, Instant now,
    ConsensusEffects& effects) {
  if (role_ != ReplicaRole::kLeader) return std::nullopt;
  const LogIndex index = log_.LastIndex() + 1;
  Append({vote_.term, index, kind, std::move(command)});
  // OnSynced sends the entry together with others proposed until then.
  effects = TakeEffects();
  return std::pair(vote_.term, index);
}

bool Node::RequestRead(uint64_t read, Instant now, ConsensusEffects& effects) {
  if (role_ != ReplicaRole::kLeader) return false;
  ++round_;
  // Until an entry of this term commits, the commit index may be behind the
  // entries that an earlier leader has committed and acknowledged.
  pending_reads_.push_back(
      {read, round_, std::max(commit_index_, term_start_index_)});
  BroadcastAppend(now);
  GrantReads();
  effects = TakeEffects();
  return true;
}

void Node::Compact(LogIndex through, std::string state) {
  auto term = log_.TermAt(through);
  if (!term.has_value() || through > commit_index_ ||
      through < log_.FirstIndex()) {
    return;
  }
  auto [index, members] = MembersAt(through);
  log_.CompactTo({through, *term, std::move(members), std::move(state)});
}

std::optional<LogIndex> Node::MatchIndex(const MemberId& member) const {
  auto found = progress_.find(member);
  if (role_ != ReplicaRole::kLeader || found == progress_.end()) {
    return std::nullopt;
  }
  return found->second.match;
}

Instant Node::NextDeadline() const {
  return role_ == ReplicaRole::kLeader ? heartbeat_deadline_
                                       : election_deadline_;
}

void Node::BecomeFollower(Term term, std::optional<MemberId> leader,
                          Instant now) {
  if (term > vote_.term) {
    vote_.term = term;
    vote_.voted_for.reset();
    PersistVote();
  }
  // An old copy of the data folder may lack the vote cast in this term. As the
  // sender has already won the term, record the vote for it, so that this
  // replica can't vote for another candidate.
  if (leader.has_value() && !vote_.voted_for.has_value()) {
    vote_.voted_for = leader;
    PersistVote();
  }
  role_ = IsVoter(self_) ? ReplicaRole::kFollower : ReplicaRole::kNonVoter;
  leader_ = std::move(leader);
  if (leader_.has_value()) start_.Close();
  votes_.clear();
  progress_.clear();
  FailReads();
  ResetElectionDeadline(now);
}

void Node::OnAppendRequest(const ConsensusMessage& message,
                           const AppendRequest& body, Instant now) {
  if (message.term < vote_.term) {
    Send(message.from, vote_.term, AppendReply{false, log_.LastIndex(), 0, {}});
    return;
  }
  if (role_ != ReplicaRole::kFollower || leader_ != message.from) {
    BecomeFollower(message.term, message.from, now);
  }
  last_leader_contact_ = now;
  ResetElectionDeadline(now);
  auto term_before = log_.TermAt(body.previous_index);
  if (body.previous_index < commit_index_ && !term_before.has_value()) {
    Send(message.from, vote_.term,
         AppendReply{true, commit_index_, body.round, lost_.Known()});
    return;
  }
  if (!term_before.has_value() || *term_before != body.previous_term) {
    const LogIndex hint =
        std::min(log_.LastIndex(),
                 body.previous_index == 0 ? 0 : body.previous_index - 1);
    Send(message.from, vote_.term,
         AppendReply{false, std::max(hint, commit_index_), body.round, {}});
    return;
  }
  AcceptEntries(body.entries);
  const LogIndex match = body.previous_index + body.entries.size();
  CommitThrough(std::min(body.commit_index, match));
  Send(message.from, vote_.term,
       AppendReply{true, match, body.round, lost_.Known()});
}

void Node::AcceptEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index < log_.FirstIndex()) continue;
    auto stored_term = log_.TermAt(entry.index);
    if (stored_term == entry.term) continue;
    if (stored_term.has_value()) {
      log_.TruncateFrom(entry.index);
      synced_index_ = std::min(synced_index_, entry.index - 1);
      if (members_index_ >= entry.index) ReadMembersFromLog();
    }
    Append(entry);
  }
}

void Node::OnAppendReply(const ConsensusMessage& message,
                         const AppendReply& body, Instant now) {
  auto found = progress_.find(message.from);
  if (role_ != ReplicaRole::kLeader || message.term != vote_.term ||
      found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_reply = now;
  OnLostVoters(message.from, body.lost);
  // A member that was unreachable or paused replies to the queued requests one
  // by one. Only a reply to the round that last carried entries, or to a later
  // one, shows whether those entries have arrived.
  if (body.round >= progress.entries_round) progress.in_flight = false;
  progress.confirmed_round = std::max(progress.confirmed_round, body.round);
  if (body.matched) {
    if (body.match_index > progress.match) {
      progress.match = body.match_index;
      progress.match_round = round_;
      progress.resend_interval = {};
    }
    progress.next = std::max(progress.next, progress.match + 1);
    AdvanceCommit(now);
    PromoteIfCaughtUp(message.from, body.round, now);
  } else if (body.round > progress.match_round) {
    // A request sent after the member's acknowledgement had arrived found the
    // acknowledged entries missing: the member runs on an old copy of its data
    // folder, so its acknowledgements no longer count.
    progress.match = 0;
    progress.caught_up_round = 0;
    progress.next = std::max<LogIndex>(
        1, std::min(progress.next - 1, body.match_index + 1));
  }
  GrantReads();
  if (role_ == ReplicaRole::kLeader) ReplicateToIdleMembers(now);
}

void Node::OnInstallSnapshot(const ConsensusMessage& message,
                             const InstallSnapshot& body, Instant now) {
  if (message.term < vote_.term) return;
  if (role_ != ReplicaRole::kFollower || leader_ != message.from) {
    BecomeFollower(message.term, message.from, now);
  }
  last_leader_contact_ = now;
  ResetElectionDeadline(now);
  const ConsensusSnapshot& snapshot = body.snapshot;
  if (log_.TermAt(snapshot.last_index) == snapshot.last_term) {
    // A delayed snapshot that the log already contains. The entries after it
    // may have been acknowledged, so they must stay.
    CommitThrough(snapshot.last_index);
  } else if (snapshot.last_index > commit_index_) {
    log_.ResetTo(snapshot);
    commit_index_ = snapshot.last_index;
    synced_index_ = snapshot.last_index;
    members_index_ = snapshot.last_index;
    SetMembers(snapshot.members, {});
    pending_effects_.install = snapshot;
    pending_effects_.append.clear();
    pending_effects_.committed.clear();
  }
  Send(message.from, vote_.term,
       AppendReply{true, std::max(snapshot.last_index, commit_index_),
                   body.round, lost_.Known()});
}

void Node::SendAppend(const MemberId& to, Instant now) {
  Progress& progress = progress_[to];
  progress.last_sent = now;
  progress.sent_commit = commit_index_;
  auto previous_term = log_.TermAt(progress.next - 1);
  progress.needs_snapshot = !previous_term.has_value();
  if (progress.needs_snapshot) {
    Send(to, vote_.term, InstallSnapshot{log_.Snapshot(), ++round_});
    MarkInFlight(progress);
    return;
  }
  AppendRequest request{
      progress.next - 1, *previous_term, {}, commit_index_, ++round_};
  size_t bytes = 0;
  for (LogIndex index = progress.next; index <= log_.LastIndex(); ++index) {
    if (request.entries.size() >= kMaxEntriesPerMessage ||
        bytes >= kMaxBytesPerMessage) {
      break;
    }
    bytes += log_.At(index).command.size();
    request.entries.push_back(log_.At(index));
  }
  if (request.entries.empty()) {
    progress.in_flight = false;
  } else {
    MarkInFlight(progress);
  }
  Send(to, vote_.term, std::move(request));
}

/// Records that entries or a snapshot have just been sent in round `round_`.
void Node::MarkInFlight(Progress& progress) {
  progress.in_flight = true;
  progress.entries_round = round_;
  progress.resend_interval =
      std::clamp(progress.resend_interval * 2, config_.election_timeout_min / 2,
                 config_.max_resend_interval);
}

void Node::BroadcastAppend(Instant now) {
  heartbeat_deadline_ = now + config_.heartbeat_interval;
  for (auto& [id, progress] : progress_) {
    // A snapshot or many entries can take longer than a heartbeat interval to
    // arrive, so they aren't sent again at each heartbeat.
    const bool awaiting_reply =
        progress.in_flight &&
        now - progress.last_sent < progress.resend_interval;
    if (!awaiting_reply) {
      SendAppend(id, now);
    } else if (!progress.needs_snapshot) {
      SendHeartbeat(id, progress);
    }
  }
}

/// Sends an append request without entries to a member with entries in flight,
/// to prevent an election. It refers to the last entry known to be stored
/// there.
void Node::SendHeartbeat(const MemberId& to, const Progress& progress) {
  const auto term = log_.TermAt(progress.match);
  if (!term.has_value()) return;
  Send(to, vote_.term,
       AppendRequest{progress.match,
                     *term,
                     {},
                     std::min(commit_index_, progress.match),
                     ++round_});
}

void Node::ReplicateToIdleMembers(Instant now) {
  for (auto& [id, progress] : progress_) {
    if (progress.in_flight) continue;
    if (progress.next <= log_.LastIndex() ||
        progress.sent_commit < commit_index_) {
      SendAppend(id, now);
    }
  }
}

void Node::AdvanceCommit(Instant now) {
  if (commit_index_ == log_.LastIndex()) return;
  const LogIndex quorum_index = ReachedByQuorum([this](const MemberId& voter) {
    return voter == self_ ? synced_index_ : progress_[voter].match;
  });
  if (quorum_index <= commit_index_ || log_.TermAt(quorum_index) != vote_.term)
    return;
  CommitThrough(quorum_index);
  GrantReads();
  ReplicateToIdleMembers(now);
  StepDownIfRemoved(now);
}

void Node::CommitThrough(LogIndex index) {
  while (commit_index_ < std::min(index, log_.LastIndex())) {
    ++commit_index_;
    pending_effects_.committed.push_back(log_.At(commit_index_));
  }
  if (commit_index_ >= members_index_ &&
      vote_.committed_members < members_index_) {
    vote_.committed_members = members_index_;
    PersistVote();
    ForgetUncountedMembers();
  }
}

void Node::Append(LogEntry entry) {
  if (entry.kind == EntryKind::kMembers) {
    members_index_ = entry.index;
    std::vector<Member> previous = std::move(members_);
    SetMembers(DecodeMembers(entry.command), std::move(previous));
  }
  pending_effects_.append.push_back(entry);
  log_.Append(std::move(entry));
}

void Node::Send(const MemberId& to, Term term,
                decltype(ConsensusMessage::body) body) {
  pending_effects_.send.push_back({self_, to, term, std::move(body)});
}

void Node::PersistVote() { pending_effects_.vote = vote_; }

void Node::ResetElectionDeadline(Instant now) {
  election_deadline_ = now + RandomBetween(config_.election_timeout_min,
                                           config_.election_timeout_max);
}

Duration Node::RandomBetween(Duration lowest, Duration highest) {
  const auto spread = static_cast<uint64_t>((highest - lowest).count());
  return lowest + Duration(static_cast<int64_t>(random_.Below(spread + 1)));
}

ConsensusEffects Node::TakeEffects() {
  ConsensusEffects effects = std::move(pending_effects_);
  pending_effects_ = {};
  return effects;
}

std::unique_ptr<ConsensusNode> MakeConsensusNode(
    const MemberId& self, const ConsensusConfig& config,
    RestoredConsensusState restored, uint64_t seed, Instant now) {
  return std::make_unique<Node>(self, config, std::move(restored), seed, now);
}

}  // namespace hibiscusglade
