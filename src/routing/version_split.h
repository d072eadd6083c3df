#ifndef HIBISCUSGLADE_ROUTING_VERSION_SPLIT_H_
#define HIBISCUSGLADE_ROUTING_VERSION_SPLIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/random.h"
#include "routing/types/route_table.h"

namespace hibiscusglade {

/// The upstreams to which one call may be sent.
struct VersionCandidates {
  UpstreamListPtr upstreams;
  /// Where further attempts of a call for the target version may go; nullptr:
  /// to the same upstreams.
  UpstreamListPtr others;
};

/// Splits the requests for a service between the target version of a rollout
/// and the others. The target version gets its share of every stretch of
/// requests: each request adds the share to a credit, and a whole one is spent
/// on a request to the target.
///
/// Load pattern: 67 daemons that get a handful of requests each during a step.
/// Credits start at random, so that the sum over daemons is the share although
/// most of them send the target nothing or one request. A request that was not
/// for the target version never gets there, so full upstreams of the others
/// don't raise the share. Single-threaded.
class VersionSplit {
 public:
  explicit VersionSplit(uint64_t seed) : random_(seed) {}

  /// @param all upstreams of the service.
  /// @param rollout the last one of the service; nullptr: there was none.
  /// @param confirmed_ago since the daemon's view was confirmed as the latest.
  /// @param braked whether this entry has seen the target version fail.
  VersionCandidates Pick(const UpstreamListPtr& all, const Rollout* rollout,
                         std::optional<Duration> confirmed_ago, bool braked);

 private:
  struct Split {
    UpstreamListPtr all;
    uint64_t order = 0;
    uint64_t step = 0;
    int64_t credit_permille = 0;
    UpstreamListPtr target;
    UpstreamListPtr others;
    UpstreamListPtr open;  ///< All that are not closed.
  };

  Split& SplitOf(const UpstreamListPtr& all, const Rollout& rollout);

  Random random_;
  std::map<std::string, Split> splits_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_VERSION_SPLIT_H_
