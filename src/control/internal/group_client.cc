#include "control/internal/group_client.h"

#include <algorithm>
#include <utility>

#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr Duration kVersionsTimeout = std::chrono::seconds(4);
/// Shorter than for versions, because a caller waits for its claim.
constexpr Duration kClaimsTimeout = std::chrono::milliseconds(1500);
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(700);
constexpr Duration kNotLeaderRetryDelay = std::chrono::milliseconds(50);
/// Replicas that are sent a read at a time while no leader is known.
constexpr size_t kMostAskedAtOnce = 3;
/// Answers naming a leader that a request follows without a pause. Two replicas
/// that name each other must not be asked without end.
constexpr int kMostFollowed = 3;

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
    std::string& leader = leaders_[pending.request.group];
    const bool names_leader = !answer.leader_address.empty();
    if (names_leader || leader == attempt.replica) {
      leader = answer.leader_address;
    }
    if (answer.error != ConsensusCode::kNotLeader) {
      pending.next_attempt_at = now;
      return;
    }
    pending.unresolved.erase(attempt_id);
    if (names_leader && leader != attempt.replica &&
        pending.followed++ < kMostFollowed) {
      SendAttempt(pending, now);
    } else if (pending.unresolved.empty() || !pending.request.read) {
      pending.next_attempt_at = now + kNotLeaderRetryDelay;
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
  const std::string& leader = leaders_[pending.request.group];
  if (!leader.empty()) {
    SendTo(leader, pending);
    return;
  }
  if (pending.request.group == GroupId::kClaims) {
    SendProbe(pending, NextReplica());
    return;
  }
  // A read runs nowhere but at the leader, so that it may be sent to several:
  // the one that leads, or is about to, answers without being found first.
  const size_t asked =
      pending.request.read ? std::min(kMostAskedAtOnce, replicas_.size()) : 1;
  for (size_t i = 0; i < asked; ++i) SendTo(NextReplica(), pending);
}

void GroupClient::SendTo(const std::string& replica, PendingRequest& pending) {
  const uint64_t attempt_id = ++last_attempt_id_;
  attempts_[attempt_id] = {pending.request.request_id, replica, false};
  pending.unresolved.insert(attempt_id);
  GroupRequest request = pending.request;
  request.request_id = attempt_id;
  sender_(replica, request);
}

const std::string& GroupClient::NextReplica() {
  return replicas_[next_replica_++ % replicas_.size()];
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
