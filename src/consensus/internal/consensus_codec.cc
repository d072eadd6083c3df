#include "consensus/consensus_codec.h"

#include <utility>

#include "wire/peer.pb.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

void Fill(const MemberId& id, wire::MemberId& out) {
  out.set_instance(id.instance);
  out.set_identity(id.identity);
}

MemberId From(const wire::MemberId& in) {
  return {in.instance(), in.identity()};
}

void Fill(const Member& member, wire::Member& out) {
  Fill(member.id, *out.mutable_id());
  out.set_voter(member.voter);
  out.set_address(member.address);
  out.set_failure_domain(member.failure_domain);
}

Member From(const wire::Member& in) {
  return {From(in.id()), in.voter(), in.address(), in.failure_domain()};
}

template <typename Repeated>
std::vector<MemberId> IdsFrom(const Repeated& in) {
  std::vector<MemberId> ids;
  for (const wire::MemberId& id : in) ids.push_back(From(id));
  return ids;
}

template <typename Repeated>
std::vector<Member> MembersFrom(const Repeated& in) {
  std::vector<Member> members;
  for (const wire::Member& member : in) members.push_back(From(member));
  return members;
}

void Fill(const LogEntry& entry, wire::LogEntry& out) {
  out.set_term(entry.term);
  out.set_index(entry.index);
  out.set_kind(static_cast<uint32_t>(entry.kind));
  out.set_command(entry.command);
}

LogEntry From(const wire::LogEntry& in) {
  return {in.term(), in.index(), static_cast<EntryKind>(in.kind()),
          in.command()};
}

struct BodyFiller {
  wire::ConsensusMessage& out;

  void operator()(const VoteRequest& body) const {
    auto* to = out.mutable_vote_request();
    to->set_last_index(body.last_index);
    to->set_last_term(body.last_term);
    to->set_pre_vote(body.pre_vote);
    to->set_receiver_start(body.receiver_start);
    for (const MemberId& id : body.lost) Fill(id, *to->add_lost());
  }
  void operator()(const VoteReply& body) const {
    auto* to = out.mutable_vote_reply();
    to->set_granted(body.granted);
    to->set_pre_vote(body.pre_vote);
    for (const MemberId& id : body.lost) Fill(id, *to->add_lost());
  }
  void operator()(const AppendRequest& body) const {
    auto* to = out.mutable_append_request();
    to->set_previous_index(body.previous_index);
    to->set_previous_term(body.previous_term);
    for (const LogEntry& entry : body.entries) Fill(entry, *to->add_entries());
    to->set_commit_index(body.commit_index);
    to->set_round(body.round);
  }
  void operator()(const AppendReply& body) const {
    auto* to = out.mutable_append_reply();
    to->set_matched(body.matched);
    to->set_match_index(body.match_index);
    to->set_round(body.round);
    for (const MemberId& id : body.lost) Fill(id, *to->add_lost());
  }
  void operator()(const InstallSnapshot& body) const {
    auto* to = out.mutable_install_snapshot();
    to->set_last_index(body.snapshot.last_index);
    to->set_last_term(body.snapshot.last_term);
    for (const Member& member : body.snapshot.members) {
      Fill(member, *to->add_members());
    }
    to->set_state(body.snapshot.state);
    to->set_round(body.round);
  }
  void operator()(const JoinRequest& body) const {
    Fill(body.member, *out.mutable_join_request()->mutable_member());
  }
  void operator()(const StartNotice& body) const {
    auto* to = out.mutable_start_notice();
    to->set_last_index(body.last_index);
    to->set_last_term(body.last_term);
    to->set_start(body.start);
    to->set_heard(body.heard);
  }
  void operator()(const IdentityRequest& body) const {
    out.mutable_identity_request()->set_nonce(body.nonce);
  }
  void operator()(const IdentityReply& body) const {
    out.mutable_identity_reply()->set_nonce(body.nonce);
  }
  void operator()(const LeaveRequest& body) const {
    out.mutable_leave_request()->set_start(body.start);
  }
  void operator()(const LeaveReply& body) const {
    out.mutable_leave_reply()->set_start(body.start);
    out.mutable_leave_reply()->set_removed(body.removed);
  }
};

AppendRequest From(const wire::AppendRequest& in) {
  AppendRequest body{in.previous_index(),
                     in.previous_term(),
                     {},
                     in.commit_index(),
                     in.round()};
  for (const wire::LogEntry& entry : in.entries()) {
    body.entries.push_back(From(entry));
  }
  return body;
}

InstallSnapshot From(const wire::InstallSnapshot& in) {
  return {
      {in.last_index(), in.last_term(), MembersFrom(in.members()), in.state()},
      in.round()};
}

template <typename Message>
std::optional<Message> Parsed(std::string_view bytes) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  return message;
}

}  // namespace

void ToWire(const ConsensusMessage& message, wire::ConsensusMessage& out) {
  Fill(message.from, *out.mutable_from());
  Fill(message.to, *out.mutable_to());
  out.set_term(message.term);
  std::visit(BodyFiller{out}, message.body);
}

std::optional<ConsensusMessage> FromWire(const wire::ConsensusMessage& in) {
  ConsensusMessage message{From(in.from()), From(in.to()), in.term(), {}};
  switch (in.kind_case()) {
    case wire::ConsensusMessage::kVoteRequest:
      message.body = VoteRequest{
          in.vote_request().last_index(), in.vote_request().last_term(),
          in.vote_request().pre_vote(), in.vote_request().receiver_start(),
          IdsFrom(in.vote_request().lost())};
      return message;
    case wire::ConsensusMessage::kVoteReply:
      message.body =
          VoteReply{in.vote_reply().granted(), in.vote_reply().pre_vote(),
                    IdsFrom(in.vote_reply().lost())};
      return message;
    case wire::ConsensusMessage::kAppendRequest:
      message.body = From(in.append_request());
      return message;
    case wire::ConsensusMessage::kAppendReply:
      message.body = AppendReply{
          in.append_reply().matched(), in.append_reply().match_index(),
          in.append_reply().round(), IdsFrom(in.append_reply().lost())};
      return message;
    case wire::ConsensusMessage::kInstallSnapshot:
      message.body = From(in.install_snapshot());
      return message;
    case wire::ConsensusMessage::kJoinRequest:
      message.body = JoinRequest{From(in.join_request().member())};
      return message;
    case wire::ConsensusMessage::kStartNotice:
      message.body = StartNotice{
          in.start_notice().last_index(), in.start_notice().last_term(),
          in.start_notice().start(), in.start_notice().heard()};
      return message;
    case wire::ConsensusMessage::kIdentityRequest:
      message.body = IdentityRequest{in.identity_request().nonce()};
      return message;
    case wire::ConsensusMessage::kIdentityReply:
      message.body = IdentityReply{in.identity_reply().nonce()};
      return message;
    case wire::ConsensusMessage::kLeaveRequest:
      message.body = LeaveRequest{in.leave_request().start()};
      return message;
    case wire::ConsensusMessage::kLeaveReply:
      message.body =
          LeaveReply{in.leave_reply().start(), in.leave_reply().removed()};
      return message;
    case wire::ConsensusMessage::KIND_NOT_SET:
      break;
  }
  return std::nullopt;
}

std::string EncodeMembers(const std::vector<Member>& members) {
  wire::StoredMembers out;
  for (const Member& member : members) Fill(member, *out.add_members());
  return out.SerializeAsString();
}

std::vector<Member> DecodeMembers(std::string_view bytes) {
  auto in = Parsed<wire::StoredMembers>(bytes);
  return in.has_value() ? MembersFrom(in->members()) : std::vector<Member>{};
}

std::string EncodeVote(const VoteState& vote) {
  wire::StoredVote out;
  out.set_term(vote.term);
  out.set_has_vote(vote.voted_for.has_value());
  out.set_committed_members(vote.committed_members);
  if (vote.voted_for.has_value()) {
    Fill(*vote.voted_for, *out.mutable_voted_for());
  }
  return out.SerializeAsString();
}

std::optional<VoteState> DecodeVote(std::string_view bytes) {
  auto in = Parsed<wire::StoredVote>(bytes);
  if (!in.has_value()) return std::nullopt;
  VoteState vote{in->term(), std::nullopt, in->committed_members()};
  if (in->has_vote()) vote.voted_for = From(in->voted_for());
  return vote;
}

std::string EncodeEntry(const LogEntry& entry) {
  wire::LogEntry out;
  Fill(entry, out);
  return out.SerializeAsString();
}

std::optional<LogEntry> DecodeEntry(std::string_view bytes) {
  auto in = Parsed<wire::LogEntry>(bytes);
  if (!in.has_value()) return std::nullopt;
  return From(*in);
}

std::string EncodeSnapshot(const ConsensusSnapshot& snapshot) {
  wire::StoredSnapshot out;
  out.set_last_index(snapshot.last_index);
  out.set_last_term(snapshot.last_term);
  for (const Member& member : snapshot.members) {
    Fill(member, *out.add_members());
  }
  out.set_state(snapshot.state);
  return out.SerializeAsString();
}

std::optional<ConsensusSnapshot> DecodeSnapshot(std::string_view bytes) {
  auto in = Parsed<wire::StoredSnapshot>(bytes);
  if (!in.has_value()) return std::nullopt;
  return ConsensusSnapshot{in->last_index(), in->last_term(),
                           MembersFrom(in->members()), in->state()};
}

std::string EncodeIdentity(const ReplicaIdentity& identity) {
  wire::StoredIdentity out;
  out.set_instance(identity.id.instance);
  out.set_identity(identity.id.identity);
  for (const Member& member : identity.founders) {
    Fill(member, *out.add_founders());
  }
  return out.SerializeAsString();
}

std::optional<ReplicaIdentity> DecodeIdentity(std::string_view bytes) {
  auto in = Parsed<wire::StoredIdentity>(bytes);
  if (!in.has_value()) return std::nullopt;
  return ReplicaIdentity{{in->instance(), in->identity()},
                         MembersFrom(in->founders())};
}

}  // namespace hibiscusglade
