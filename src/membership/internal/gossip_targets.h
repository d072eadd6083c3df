#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_GOSSIP_TARGETS_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_GOSSIP_TARGETS_H_

#include <string>
#include <vector>

#include "base/random.h"
#include "membership/internal/failure_detector.h"
#include "membership/internal/peer_view.h"
#include "membership/internal/record_table.h"
#include "membership/membership.h"

namespace hibiscusglade {

/// Chooses at random where gossip and comparisons of tables are sent.
class GossipTargets {
 public:
  /// @param table and `view` of the same daemon; read at each call.
  GossipTargets(const MembershipConfig& config, const RecordTable& table,
                const PeerView& view, Random& random)
      : config_(config), table_(table), view_(view), random_(random) {}

  /// @return addresses of a few peers of the own domain; while there are none,
  /// of another domain's relay or a seed.
  std::vector<std::string> ForUpdates();

  /// @return the address of one relay of each other domain.
  std::vector<std::string> InOtherDomains();

  /// @return the address of a peer, or sometimes of a seed, so that groups of
  /// daemons that no longer know each other are joined again; empty: nobody is
  /// known. That of another domain's relay while this daemon stands in as one.
  std::string ForComparison();

  /// @param instance one that is in the table.
  ProbeTarget Of(const std::string& instance) const;

 private:
  std::string RandomSeed();
  const std::string& OneOf(const std::vector<std::string>& names);

  const MembershipConfig& config_;
  const RecordTable& table_;
  const PeerView& view_;
  Random& random_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_GOSSIP_TARGETS_H_
