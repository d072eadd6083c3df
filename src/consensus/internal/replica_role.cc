#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

std::string NameOf(ReplicaRole role) {
  switch (role) {
    case ReplicaRole::kLeader:
      return "leader";
    case ReplicaRole::kFollower:
      return "follower";
    case ReplicaRole::kCandidate:
      return "candidate";
    case ReplicaRole::kNonVoter:
      break;
  }
  return "non-voter";
}

}  // namespace hibiscusglade
