#ifndef HIBISCUSGLADE_ROUTING_UPSTREAM_CHOOSER_H_
#define HIBISCUSGLADE_ROUTING_UPSTREAM_CHOOSER_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "calls/types/call_types.h"
#include "platform/clock.h"
#include "routing/types/route_table.h"

namespace hibiscusglade {

/// How an attempt ended, as its entry saw it.
enum class AttemptOutcome { kAnswered, kRefusedNotRun, kFailed, kCancelled };

/// What the chooser is asked for.
struct ChoiceRequest {
  const std::vector<UpstreamTarget>& candidates;
  std::string request_class;
  std::set<std::string> tried;  ///< Instances this call has tried already.
};

/// Chooses the upstream of each attempt of one entry, from what answers tell
/// and from its own open attempts. Single-threaded.
class UpstreamChooser {
 public:
  virtual ~UpstreamChooser() = default;

  /// @return index into the candidates; nullopt when none may be chosen.
  virtual std::optional<size_t> Choose(const ChoiceRequest& request,
                                       Instant now) = 0;

  /// An attempt was sent to an instance.
  virtual void OnSent(const std::string& instance, Instant now) = 0;

  /// An attempt ended.
  /// @param latency from sending to the first byte of the answer.
  virtual void OnEnded(const std::string& instance, AttemptOutcome outcome,
                       Duration latency, Instant now) = 0;

  /// A load report came with an answer of an instance.
  virtual void OnLoad(const std::string& instance, const LoadReport& load,
                      Instant now) = 0;
};

/// Named ways to choose, for measurement against each other.
enum class ChoicePolicy {
  kRoundRobin,
  kRandom,
  kLeastLoaded,  ///< Least of the last reports, however old.
  kTwoChoices,   ///< Two at random, the less loaded by fresh knowledge.
};

/// @param own_domain failure domain of this daemon, preferred.
std::unique_ptr<UpstreamChooser> MakeUpstreamChooser(ChoicePolicy policy,
                                                     std::string own_domain,
                                                     uint64_t seed);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_UPSTREAM_CHOOSER_H_
