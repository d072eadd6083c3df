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

/// Converts a message to its form between processes.
void ToWire(const ConsensusMessage& message, wire::ConsensusMessage& out);

/// @return nullopt when the message has no known body.
std::optional<ConsensusMessage> FromWire(const wire::ConsensusMessage& in);

std::string EncodeMembers(const std::vector<Member>& members);

/// @return the members; empty when the bytes are damaged.
std::vector<Member> DecodeMembers(std::string_view bytes);

std::string EncodeVote(const VoteState& vote);
std::optional<VoteState> DecodeVote(std::string_view bytes);

std::string EncodeEntry(const LogEntry& entry);
std::optional<LogEntry> DecodeEntry(std::string_view bytes);

std::string EncodeSnapshot(const ConsensusSnapshot& snapshot);
std::optional<ConsensusSnapshot> DecodeSnapshot(std::string_view bytes);

/// Who a data folder belongs to.
struct ReplicaIdentity {
  MemberId id;
  std::vector<Member> founders;  ///< Empty for a replica that joined later.

  friend bool operator==(const ReplicaIdentity&,
                         const ReplicaIdentity&) = default;
};

std::string EncodeIdentity(const ReplicaIdentity& identity);
std::optional<ReplicaIdentity> DecodeIdentity(std::string_view bytes);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_CONSENSUS_CODEC_H_
