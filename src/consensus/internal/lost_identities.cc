#include "consensus/internal/lost_identities.h"

#include <algorithm>

#include "consensus/types/member_list.h"

namespace hibiscusglade {
namespace {

/// @return whether the member is a voter of the same instance under another
/// identity.
bool IsOtherVoterOf(const MemberId& id, const Member& member) {
  return member.voter && member.id.instance == id.instance && member.id != id;
}

}  // namespace

void LostIdentities::OnMembers(const std::vector<Member>& members) {
  nonce_ = NewNonce();
  std::erase_if(known_, [&members](const MemberId& id) {
    return !HasVoter(members, id);
  });
  std::erase_if(reported_, [&members](const auto& item) {
    return !HasVoter(members, item.first);
  });
}

bool LostIdentities::IsNews(const MemberId& joining,
                            const std::vector<Member>& members) const {
  return std::ranges::any_of(members, [&](const Member& member) {
    return IsOtherVoterOf(joining, member) && !known_.contains(member.id);
  });
}

void LostIdentities::OnIdentityReply(const MemberId& from, uint64_t nonce,
                                     const std::vector<Member>& members) {
  if (nonce != nonce_) return;
  for (const Member& member : members) {
    if (IsOtherVoterOf(from, member)) known_.insert(member.id);
  }
}

void LostIdentities::OnReport(const MemberId& from,
                              const std::vector<MemberId>& lost,
                              const std::vector<Member>& members) {
  for (const MemberId& id : lost) {
    reported_[from].insert(id);
    if (HasVoter(members, id)) known_.insert(id);
  }
}

bool LostIdentities::SupportHalf(
    const MemberId& self, const std::vector<MemberId>& voters,
    const std::vector<MemberId>& supporters) const {
  const auto has_run_since = [&](const MemberId& voter, const MemberId& lost) {
    if (voter == lost) return false;
    if (voter == self) return true;
    const auto found = reported_.find(voter);
    return found != reported_.end() && found->second.contains(lost);
  };
  return std::ranges::any_of(voters, [&](const MemberId& lost) {
    if (!known_.contains(lost)) return false;
    const auto running = std::ranges::count_if(
        supporters,
        [&](const MemberId& voter) { return has_run_since(voter, lost); });
    return 2 * static_cast<size_t>(running) >= voters.size();
  });
}

}  // namespace hibiscusglade
