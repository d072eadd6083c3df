#include "consensus/types/member_list.h"

#include <algorithm>

namespace hibiscusglade {

bool HasMember(const std::vector<Member>& members, const MemberId& id) {
  return std::ranges::any_of(
      members, [&id](const Member& member) { return member.id == id; });
}

bool HasVoter(const std::vector<Member>& members, const MemberId& id) {
  return std::ranges::any_of(members, [&id](const Member& member) {
    return member.voter && member.id == id;
  });
}

size_t CountVoters(const std::vector<Member>& members) {
  return static_cast<size_t>(std::ranges::count_if(
      members, [](const Member& member) { return member.voter; }));
}

}  // namespace hibiscusglade
