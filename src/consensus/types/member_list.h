#ifndef HIBISCUSGLADE_CONSENSUS_TYPES_MEMBER_LIST_H_
#define HIBISCUSGLADE_CONSENSUS_TYPES_MEMBER_LIST_H_

#include <cstddef>
#include <vector>

#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

/// @return whether the identity is that of a member.
bool HasMember(const std::vector<Member>& members, const MemberId& id);

/// @return whether the identity is that of a voter.
bool HasVoter(const std::vector<Member>& members, const MemberId& id);

/// @return the number of voters.
size_t CountVoters(const std::vector<Member>& members);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_TYPES_MEMBER_LIST_H_
