#include "control/internal/group_client.h"

#include <utility>

#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(4);
/// Claims wait while a caller waits.
constexpr Duration kClaimDeadline = std::chrono::milliseconds(1500);
constexpr Duration kTryTimeout = std::chrono::milliseconds(700);
constexpr Duration kNotLeaderPause = std::chrono::milliseconds(50);

}  // namespace

GroupClient::GroupClient(std::vector<std::string> replicas, Sender sender)
    : replicas_(std::move(replicas)), sender_(std::move(sender)) {}

void GroupClient::SetReplicas(std::vector<std::string> replicas) {
  replicas_ = std::move(replicas);
}

void GroupClient::Submit(GroupId group, std::string command, bool read,
                         Instant now, ReplicaCallback done) {
  const uint64_t request = ++last_request_;
  Open& open = open_[request];
  open.request = {request, group, std::move(command), read};
  open.deadline =
      now + (group == GroupId::kClaims ? kClaimDeadline : kDeadline);
  open.done = std::move(done);
  Try(open, now);
}

void GroupClient::OnAnswer(const GroupAnswer& answer, Instant now) {
  auto attempt = attempts_.find(answer.request);
  if (attempt == attempts_.end()) return;
  const uint64_t number = attempt->first;
  const Attempt tried = attempt->second;
  attempts_.erase(attempt);
  Open& open = open_[tried.request];
  if (answer.error) {
    leaders_[open.request.group] = answer.leader_address;
    if (answer.error == ConsensusCode::kNotLeader) {
      open.in_doubt.erase(number);
      open.next_try = now + kNotLeaderPause;
    } else {
      open.next_try = now;
    }
    return;
  }
  leaders_[open.request.group] = tried.replica;
  if (tried.probe) {
    Try(open, now);
  } else {
    Finish(tried.request, {{}, answer.result});
  }
}

void GroupClient::OnTick(Instant now) {
  std::vector<uint64_t> late;
  for (auto& [request, open] : open_) {
    if (now >= open.deadline) {
      late.push_back(request);
    } else if (now >= open.next_try) {
      // No answer came: the leader known so far may be the cause.
      if (!open.in_doubt.empty()) leaders_.erase(open.request.group);
      Try(open, now);
    }
  }
  for (uint64_t request : late) {
    const Open& open = open_[request];
    const bool unknown = !open.in_doubt.empty() && !open.request.read;
    Finish(request,
           {unknown ? ConsensusCode::kOutcomeUnknown : ConsensusCode::kNoQuorum,
            ""});
  }
}

void GroupClient::Try(Open& open, Instant now) {
  open.next_try = now + kTryTimeout;
  if (replicas_.empty()) return;
  std::string replica = leaders_[open.request.group];
  const bool leader_known = !replica.empty();
  if (!leader_known) replica = replicas_[turn_++ % replicas_.size()];
  if (!leader_known && open.request.group == GroupId::kClaims) {
    Probe(open, replica);
    return;
  }
  const uint64_t number = ++last_attempt_;
  attempts_[number] = {open.request.request, replica, false};
  open.in_doubt.insert(number);
  GroupRequest request = open.request;
  request.request = number;
  sender_(replica, request);
}

void GroupClient::Probe(const Open& open, const std::string& replica) {
  const uint64_t number = ++last_attempt_;
  attempts_[number] = {open.request.request, replica, true};
  sender_(replica, {number, open.request.group, "", true});
}

void GroupClient::Finish(uint64_t request, const ReplicaResult& result) {
  auto found = open_.find(request);
  ReplicaCallback done = std::move(found->second.done);
  open_.erase(found);
  std::erase_if(attempts_, [request](const auto& attempt) {
    return attempt.second.request == request;
  });
  done(result);
}

}  // namespace hibiscusglade
