#ifndef HIBISCUSGLADE_CONSENSUS_CONSENSUS_CODEC_H_
#define HIBISCUSGLADE_CONSENSUS_CONSENSUS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

namespace wire {
class ConsensusMessage;
}  // namespace wire

/// Converts a message to its Protobuf form.
void ToWire(const ConsensusMessage& message, wire::ConsensusMessage& out);

/// @return nullopt if the message has no known body.
std::optional<ConsensusMessage> FromWire(const wire::ConsensusMessage& in);

std::string EncodeMembers(const std::vector<Member>& members);

/// @return the members; empty if the bytes are damaged.
std::vector<Member> DecodeMembers(std::string_view bytes);

std::string EncodeVote(const VoteState& vote);
std::optional<VoteState> DecodeVote(std::string_view bytes);

std::string EncodeEntry(const LogEntry& entry);
std::optional<LogEntry> DecodeEntry(std::string_view bytes);

std::string EncodeSnapshot(const ConsensusSnapshot& snapshot);
std::optional<ConsensusSnapshot> DecodeSnapshot(std::string_view bytes);

/// Identity of the replica that owns a data folder.
struct ReplicaIdentity {
  MemberId id;
  /// Initial members of the group; empty for a replica that joined later.
  std::vector<Member> founders;

  friend bool operator==(const ReplicaIdentity&,
                         const ReplicaIdentity&) = default;
};

std::string EncodeIdentity(const ReplicaIdentity& identity);
std::optional<ReplicaIdentity> DecodeIdentity(std::string_view bytes);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_CONSENSUS_CODEC_H_
