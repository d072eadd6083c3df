#include "control/internal/group_client.h"

#include <utility>

#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(4);
constexpr Duration kTryTimeout = std::chrono::milliseconds(700);
constexpr Duration kNotLeaderPause = std::chrono::milliseconds(50);

}  // namespace

GroupClient::GroupClient(std::vector<std::string> replicas, Sender sender)
    : replicas_(std::move(replicas)), sender_(std::move(sender)) {}

void GroupClient::Submit(GroupId group, std::string command, bool read,
                         Instant now, ReplicaCallback done) {
  const uint64_t request = ++last_request_;
  Open& open = open_[request];
  open.request = {request, group, std::move(command), read};
  open.deadline = now + kDeadline;
  open.done = std::move(done);
  Try(open, now);
}

void GroupClient::OnAnswer(const GroupAnswer& answer, Instant now) {
  auto found = open_.find(answer.request);
  if (found == open_.end()) return;
  Open& open = found->second;
  if (!answer.error) {
    Finish(answer.request, {{}, answer.result});
    return;
  }
  leaders_[open.request.group] = answer.leader_address;
  if (answer.error == ConsensusCode::kNotLeader) {
    open.may_have_run = false;
    open.next_try = now + kNotLeaderPause;
  } else {
    open.next_try = now;
  }
}

void GroupClient::OnTick(Instant now) {
  std::vector<uint64_t> late;
  for (auto& [request, open] : open_) {
    if (now >= open.deadline) {
      late.push_back(request);
    } else if (now >= open.next_try) {
      // No answer came: the leader known so far may be the cause.
      if (open.may_have_run) leaders_.erase(open.request.group);
      Try(open, now);
    }
  }
  for (uint64_t request : late) {
    const Open& open = open_[request];
    const bool unknown =
        (open.may_have_run || open.earlier_unanswered) && !open.request.read;
    Finish(request,
           {unknown ? ConsensusCode::kOutcomeUnknown : ConsensusCode::kNoQuorum,
            ""});
  }
}

void GroupClient::Try(Open& open, Instant now) {
  open.next_try = now + kTryTimeout;
  if (replicas_.empty()) return;
  std::string address = leaders_[open.request.group];
  if (address.empty()) address = replicas_[turn_++ % replicas_.size()];
  // A later refusal says nothing about an earlier try without an answer.
  open.earlier_unanswered |= open.may_have_run;
  open.may_have_run = true;
  sender_(address, open.request);
}

void GroupClient::Finish(uint64_t request, const ReplicaResult& result) {
  auto found = open_.find(request);
  ReplicaCallback done = std::move(found->second.done);
  open_.erase(found);
  done(result);
}

}  // namespace hibiscusglade
