#ifndef HIBISCUSGLADE_DISTRIBUTION_INTERNAL_ROLLOUT_BOOK_H_
#define HIBISCUSGLADE_DISTRIBUTION_INTERNAL_ROLLOUT_BOOK_H_

#include "rollouts/rollout_codec.h"

namespace hibiscusglade {

/// The latest rollouts that one daemon knows. They are replaced whole and never
/// by an earlier revision, which the replicated log numbers for all daemons.
class RolloutBook {
 public:
  /// @param rollouts may lack states: then they are not adopted.
  /// @return whether they are later than those known and were adopted.
  bool Adopt(const RolloutsAt& rollouts) {
    if (rollouts.revision <= known_.revision || rollouts.rollouts.empty()) {
      return false;
    }
    known_ = rollouts;
    return true;
  }

  /// @return whether a peer that has told its rollouts lacks later ones.
  bool IsBehind(const RolloutsAt& peers) const {
    return peers.revision < known_.revision;
  }

  /// @return what to tell a receiver that knows a revision: without states when
  /// it is this one.
  RolloutsAt For(uint64_t revision) const {
    if (revision >= known_.revision) return {known_.revision, {}};
    return known_;
  }

  const RolloutsAt& Known() const { return known_; }

 private:
  RolloutsAt known_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_INTERNAL_ROLLOUT_BOOK_H_
