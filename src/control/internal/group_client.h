#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_GROUP_CLIENT_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_GROUP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/replica.h"

namespace hibiscusglade {

/// Numbers of the replicated groups, as sent on the wire.
enum class GroupId : uint32_t { kVersions = 0, kClaims = 1 };

/// A proposal or read to be handled by a group's leader.
struct GroupRequest {
  uint64_t request_id = 0;  ///< Chosen by the client; returned in the answer.
  GroupId group = GroupId::kVersions;
  std::string command;
  bool read = false;

  friend bool operator==(const GroupRequest&, const GroupRequest&) = default;
};

/// A replica's answer to a GroupRequest.
struct GroupAnswer {
  uint64_t request_id = 0;
  std::error_code error;
  std::string result;
  std::string leader_address;  ///< Of the leader the replica knows, if any.

  friend bool operator==(const GroupAnswer&, const GroupAnswer&) = default;
};

/// Finds the leader of a group and sends it commands and reads, retrying at
/// other replicas until one answers. A retry may deliver a command again, so
/// commands must be idempotent.
class GroupClient {
 public:
  /// Sends a request to a replica's control address.
  using Sender =
      std::function<void(const std::string& address, const GroupRequest&)>;

  GroupClient(std::vector<std::string> replicas, Sender sender);

  /// Replaces the replicas that are tried in turn while no leader is known.
  void SetReplicas(std::vector<std::string> replicas);

  /// Sends a command or read, with retries until the group's timeout.
  /// @param done called once: with the result, with ConsensusCode::kNoQuorum
  /// when no leader accepted the command or answered the read, or with
  /// kOutcomeUnknown when the command may have been applied.
  void Submit(GroupId group, std::string command, bool read, Instant now,
              ReplicaCallback done);
  void OnAnswer(const GroupAnswer& answer, Instant now);
  void OnTick(Instant now);

 private:
  struct PendingRequest {
    GroupRequest request;
    Instant deadline;
    Instant next_attempt_at;
    std::set<uint64_t> unresolved;  ///< Attempts that may have been applied.
    int followed = 0;  ///< Answers naming a leader that was asked at once.
    ReplicaCallback done;
  };

  /// One message to one replica. The answer carries the attempt's number, so
  /// that a late answer is not taken for the answer to another attempt.
  struct Attempt {
    uint64_t request_id = 0;
    std::string replica;
    bool probe = false;  ///< A read sent only to find the leader.
  };

  /// Sends the request to the known leader. While none is known, sends it to
  /// the next replica in turn, a read to the next few, and only a probe in the
  /// case of a claim.
  void SendAttempt(PendingRequest& pending, Instant now);
  void SendTo(const std::string& replica, PendingRequest& pending);
  const std::string& NextReplica();

  /// Sends a read to a replica, to find out whether it leads a majority. The
  /// outcome of a claim sent to a replica that is cut off from the majority
  /// would stay unknown.
  void SendProbe(const PendingRequest& pending, const std::string& replica);
  void Finish(uint64_t request_id, const ReplicaResult& result);

  std::vector<std::string> replicas_;
  Sender sender_;
  std::map<uint64_t, PendingRequest> pending_requests_;
  std::map<uint64_t, Attempt> attempts_;
  std::map<GroupId, std::string> leaders_;
  uint64_t last_request_id_ = 0;
  uint64_t last_attempt_id_ = 0;
  size_t next_replica_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_GROUP_CLIENT_H_
