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

/// Numbers of the replicated groups.
enum class GroupId : uint32_t { kVersions = 0, kClaims = 1 };

/// A proposal or read on its way to a group's leader.
struct GroupRequest {
  uint64_t request = 0;
  GroupId group = GroupId::kVersions;
  std::string command;
  bool read = false;

  friend bool operator==(const GroupRequest&, const GroupRequest&) = default;
};

/// A replica's answer to a GroupRequest.
struct GroupAnswer {
  uint64_t request = 0;
  std::error_code error;
  std::string result;
  std::string leader_address;  ///< Set when another replica leads.

  friend bool operator==(const GroupAnswer&, const GroupAnswer&) = default;
};

/// Finds the leader of a group, sends it commands and reads, and asks again
/// elsewhere while no replica answers. Commands must be idempotent.
class GroupClient {
 public:
  /// Sends a request to a replica's control address.
  using Sender =
      std::function<void(const std::string& address, const GroupRequest&)>;

  GroupClient(std::vector<std::string> replicas, Sender sender);

  /// Replaces the replicas that are asked in turn while no leader is known.
  void SetReplicas(std::vector<std::string> replicas);

  /// @param done called with the result, ConsensusCode::kNoQuorum when no
  /// leader ever took the request, or kOutcomeUnknown.
  void Submit(GroupId group, std::string command, bool read, Instant now,
              ReplicaCallback done);
  void OnAnswer(const GroupAnswer& answer, Instant now);
  void OnTick(Instant now);

 private:
  struct Open {
    GroupRequest request;
    Instant deadline;
    Instant next_try;
    std::set<uint64_t> in_doubt;  ///< Tries that may have run.
    ReplicaCallback done;
  };

  /// One message to one replica; its number rides on the answer, so that a
  /// late answer never counts for another try.
  struct Attempt {
    uint64_t request = 0;
    std::string replica;
    bool probe = false;  ///< Only looks for the leader.
  };

  void Try(Open& open, Instant now);

  /// Asks a replica for a read, to learn whether it leads with a majority. A
  /// claim sent to a replica that is cut off would be in doubt for good.
  void Probe(const Open& open, const std::string& replica);
  void Finish(uint64_t request, const ReplicaResult& result);

  std::vector<std::string> replicas_;
  Sender sender_;
  std::map<uint64_t, Open> open_;
  std::map<uint64_t, Attempt> attempts_;
  std::map<GroupId, std::string> leaders_;
  uint64_t last_request_ = 0;
  uint64_t last_attempt_ = 0;
  size_t turn_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_GROUP_CLIENT_H_
