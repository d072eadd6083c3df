#ifndef HIBISCUSGLADE_CONSENSUS_TYPES_CONSENSUS_TYPES_H_
#define HIBISCUSGLADE_CONSENSUS_TYPES_CONSENSUS_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusglade {

using Term = uint64_t;
using LogIndex = uint64_t;

/// Identifies one replica together with its data folder. A replica that lost
/// its disk returns with a new identity, so that it can't vote a second time in
/// a term in which it has forgotten its vote.
struct MemberId {
  std::string instance;
  uint64_t identity = 0;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

/// One replica of a group.
struct Member {
  MemberId id;
  bool voter = false;
  std::string address;  ///< Control address, "ip:port".
  std::string failure_domain;

  friend bool operator==(const Member&, const Member&) = default;
};

enum class EntryKind : uint8_t { kNoop = 0, kCommand = 1, kMembers = 2 };

struct LogEntry {
  Term term = 0;
  LogIndex index = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string command;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Term and vote of a replica; synced to disk before it replies in that term.
struct VoteState {
  Term term = 0;
  std::optional<MemberId> voted_for;
  /// Index of the latest entry with members that is known to be committed.
  LogIndex committed_members = 0;

  friend bool operator==(const VoteState&, const VoteState&) = default;
};

/// State of a group through `last_index`; replaces the log up to and including
/// that index.
struct ConsensusSnapshot {
  LogIndex last_index = 0;
  Term last_term = 0;
  std::vector<Member> members;
  std::string state;

  friend bool operator==(const ConsensusSnapshot&,
                         const ConsensusSnapshot&) = default;
};

struct VoteRequest {
  LogIndex last_index = 0;
  Term last_term = 0;
  bool pre_vote = false;
  /// Start of the receiver's process when all voters have told the sender,
  /// since it started, that they know no leader; 0 otherwise.
  uint64_t receiver_start = 0;
  /// Voters whose disks the sender knows to be lost.
  std::vector<MemberId> lost = {};

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

/// Tells that the sender knows no leader. Sent to all voters after a start, and
/// as an answer to that.
struct StartNotice {
  LogIndex last_index = 0;
  Term last_term = 0;
  uint64_t start = 0;  ///< Identifies the sender's process; not 0.
  uint64_t heard = 0;  ///< The receiver's `start`; 0 while it is unknown.

  friend bool operator==(const StartNotice&, const StartNotice&) = default;
};

struct VoteReply {
  bool granted = false;
  bool pre_vote = false;
  /// Voters whose disks the sender knows to be lost.
  std::vector<MemberId> lost = {};

  friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

struct AppendRequest {
  LogIndex previous_index = 0;
  Term previous_term = 0;
  std::vector<LogEntry> entries;
  LogIndex commit_index = 0;
  /// Number of this request, echoed in the reply. Replies from a quorum confirm
  /// leadership for the reads requested up to this round.
  uint64_t round = 0;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendReply {
  bool matched = false;
  /// Last index known to match. If `matched` is false, the leader's next
  /// request should start after this index.
  LogIndex match_index = 0;
  uint64_t round = 0;
  /// Voters whose disks the sender knows to be lost.
  std::vector<MemberId> lost = {};

  friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

struct InstallSnapshot {
  ConsensusSnapshot snapshot;
  uint64_t round = 0;

  friend bool operator==(const InstallSnapshot&,
                         const InstallSnapshot&) = default;
};

/// Request of a replica, e.g. one with a new identity, to be added to the group
/// as a non-voter.
struct JoinRequest {
  Member member;

  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

/// Asks a replica that requests to join whether it is running now.
struct IdentityRequest {
  uint64_t nonce = 0;

  friend bool operator==(const IdentityRequest&,
                         const IdentityRequest&) = default;
};

/// Answer to an IdentityRequest; the identity is the sender's.
struct IdentityReply {
  uint64_t nonce = 0;

  friend bool operator==(const IdentityReply&, const IdentityReply&) = default;
};

/// Request of a voter that is about to stop to be taken out of the group.
struct LeaveRequest {
  uint64_t start = 0;  ///< Identifies the sender's process.

  friend bool operator==(const LeaveRequest&, const LeaveRequest&) = default;
};

struct LeaveReply {
  uint64_t start = 0;    ///< Of the request.
  bool removed = false;  ///< False: the group needs the vote and keeps it.

  friend bool operator==(const LeaveReply&, const LeaveReply&) = default;
};

struct ConsensusMessage {
  MemberId from;
  MemberId to;
  Term term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               InstallSnapshot, JoinRequest, StartNotice, IdentityRequest,
               IdentityReply, LeaveRequest, LeaveReply>
      body;

  friend bool operator==(const ConsensusMessage&,
                         const ConsensusMessage&) = default;
};

enum class ReplicaRole { kNonVoter, kFollower, kCandidate, kLeader };

/// @return "leader", "follower", "candidate" or "non-voter".
std::string NameOf(ReplicaRole role);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_TYPES_CONSENSUS_TYPES_H_
