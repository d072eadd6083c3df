#include "control/internal/group_client.h"

#include <utility>

#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr Duration kVersionsTimeout = std::chrono::seconds(4);
/// Shorter than for versions, because a caller waits for its claim.
constexpr Duration kClaimsTimeout = std::chrono::milliseconds(1500);
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(700);
constexpr Duration kNotLeaderRetryDelay = std::chrono::milliseconds(50);

}  // namespace

GroupClient::GroupClient(std::vector<std::string> replicas, Sender sender)
    : replicas_(std::move(replicas)), sender_(std::move(sender)) {}

void GroupClient::SetReplicas(std::vector<std::string> replicas) {
  replicas_ = std::move(replicas);
}

void GroupClient::Submit(GroupId group, std::string command, bool read,
                         Instant now, ReplicaCallback done) {
  const uint64_t request_id = ++last_request_id_;
  PendingRequest& pending = pending_requests_[request_id];
  pending.request = {request_id, group, std::move(command), read};
  pending.deadline =
      now + (group == GroupId::kClaims ? kClaimsTimeout : kVersionsTimeout);
  pending.done = std::move(done);
  SendAttempt(pending, now);
}

void GroupClient::OnAnswer(const GroupAnswer& answer, Instant now) {
  auto found = attempts_.find(answer.request_id);
  if (found == attempts_.end()) return;
  const uint64_t attempt_id = found->first;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  PendingRequest& pending = pending_requests_[attempt.request_id];
  if (answer.error) {
    leaders_[pending.request.group] = answer.leader_address;
    if (answer.error == ConsensusCode::kNotLeader) {
      pending.unresolved.erase(attempt_id);
      pending.next_attempt_at = now + kNotLeaderRetryDelay;
    } else {
      pending.next_attempt_at = now;
    }
    return;
  }
  leaders_[pending.request.group] = attempt.replica;
  if (attempt.probe) {
    SendAttempt(pending, now);
  } else {
    Finish(attempt.request_id, {{}, answer.result});
  }
}

void GroupClient::OnTick(Instant now) {
  std::vector<uint64_t> expired;
  for (auto& [request_id, pending] : pending_requests_) {
    if (now >= pending.deadline) {
      expired.push_back(request_id);
    } else if (now >= pending.next_attempt_at) {
      // The last attempt was not answered; the known leader may have failed.
      if (!pending.unresolved.empty()) leaders_.erase(pending.request.group);
      SendAttempt(pending, now);
    }
  }
  for (uint64_t request_id : expired) {
    const PendingRequest& pending = pending_requests_[request_id];
    const bool unknown = !pending.unresolved.empty() && !pending.request.read;
    Finish(request_id,
           {unknown ? ConsensusCode::kOutcomeUnknown : ConsensusCode::kNoQuorum,
            ""});
  }
}

void GroupClient::SendAttempt(PendingRequest& pending, Instant now) {
  pending.next_attempt_at = now + kAttemptTimeout;
  if (replicas_.empty()) return;
  std::string replica = leaders_[pending.request.group];
  const bool leader_known = !replica.empty();
  if (!leader_known) replica = replicas_[next_replica_++ % replicas_.size()];
  if (!leader_known && pending.request.group == GroupId::kClaims) {
    SendProbe(pending, replica);
    return;
  }
  const uint64_t attempt_id = ++last_attempt_id_;
  attempts_[attempt_id] = {pending.request.request_id, replica, false};
  pending.unresolved.insert(attempt_id);
  GroupRequest request = pending.request;
  request.request_id = attempt_id;
  sender_(replica, request);
}

void GroupClient::SendProbe(const PendingRequest& pending,
                            const std::string& replica) {
  const uint64_t attempt_id = ++last_attempt_id_;
  attempts_[attempt_id] = {pending.request.request_id, replica, true};
  sender_(replica, {attempt_id, pending.request.group, "", true});
}

void GroupClient::Finish(uint64_t request_id, const ReplicaResult& result) {
  auto found = pending_requests_.find(request_id);
  ReplicaCallback done = std::move(found->second.done);
  pending_requests_.erase(found);
  std::erase_if(attempts_, [request_id](const auto& attempt) {
    return attempt.second.request_id == request_id;
  });
  done(result);
}

}  // namespace hibiscusglade
