#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_LOST_IDENTITIES_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_LOST_IDENTITIES_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/random.h"
#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

/// Voters whose disks are lost, so that they will never vote or store an entry
/// again, and which voters have been running since.
///
/// Load pattern: a replica of a group of four is replaced and another one loses
/// its disk before the group has shrunk again. The two that are left are no
/// majority of four. But no other two of them can act for the group any more:
/// one of the four is lost, and of the three others any two share a member with
/// these. So half of an even group is a quorum if each of them has been running
/// since the disk of the same voter was lost. An odd group gains nothing.
///
/// An instance runs one process, whose identity changes only with its disk. If
/// it answers a nonce that was chosen when another of its identities was known
/// already, that other identity is the older one, and lost. Without a nonce, a
/// delayed message of an earlier process could make the newer one look lost.
class LostIdentities {
 public:
  explicit LostIdentities(uint64_t seed) : random_(seed), nonce_(NewNonce()) {}

  /// Must be called when the members change.
  /// @param members those in effect, and those before while they still count.
  void OnMembers(const std::vector<Member>& members);

  /// @return whether the instance of `joining` has a voter of another identity
  /// that isn't known to be lost.
  bool IsNews(const MemberId& joining,
              const std::vector<Member>& members) const;

  /// @return what a replica that requests to join must answer.
  uint64_t Nonce() const { return nonce_; }

  /// Records that the voter of the sender's instance is lost, if the nonce is
  /// the current one.
  void OnIdentityReply(const MemberId& from, uint64_t nonce,
                       const std::vector<Member>& members);

  /// Records which voters are lost according to one that is running.
  void OnReport(const MemberId& from, const std::vector<MemberId>& lost,
                const std::vector<Member>& members);

  /// @return the voters that are known to be lost.
  std::vector<MemberId> Known() const { return {known_.begin(), known_.end()}; }

  /// @param self identity of this replica.
  /// @param voters of a group, whose number is even.
  /// @param supporters some of these voters.
  /// @return whether half of the voters or more are among the supporters and
  /// have been running since another voter was lost.
  bool SupportHalf(const MemberId& self, const std::vector<MemberId>& voters,
                   const std::vector<MemberId>& supporters) const;

 private:
  uint64_t NewNonce() { return random_.Bits() | 1U; }

  Random random_;
  uint64_t nonce_;
  std::set<MemberId> known_;
  /// What other voters have reported. A report stays true: its sender was
  /// running after that disk was lost, and keeps what it has promised.
  std::map<MemberId, std::set<MemberId>> reported_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_LOST_IDENTITIES_H_
