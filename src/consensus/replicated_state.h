#ifndef HIBISCUSGLADE_CONSENSUS_REPLICATED_STATE_H_
#define HIBISCUSGLADE_CONSENSUS_REPLICATED_STATE_H_

#include <string>
#include <string_view>

namespace hibiscusglade {

/// State machine driven by a replicated log. Must be deterministic: the same
/// commands in the same order give the same state and results at every replica.
class ReplicatedState {
 public:
  virtual ~ReplicatedState() = default;

  /// Applies one committed command.
  /// @return the encoded result for the proposer.
  virtual std::string Apply(std::string_view command) = 0;

  /// @return the encoded answer to a read.
  virtual std::string Read(std::string_view query) const = 0;

  /// @return the complete state, encoded.
  virtual std::string Snapshot() const = 0;

  /// Replaces the state by a snapshot.
  /// @return false, with the state unchanged, if the bytes are damaged.
  virtual bool Restore(std::string_view snapshot) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_REPLICATED_STATE_H_
