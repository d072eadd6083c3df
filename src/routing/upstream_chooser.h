#ifndef HIBISCUSGLADE_ROUTING_UPSTREAM_CHOOSER_H_
#define HIBISCUSGLADE_ROUTING_UPSTREAM_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "calls/types/call_types.h"
#include "routing/types/route_table.h"

namespace hibiscusglade {

/// How an attempt ended, as its entry saw it.
enum class AttemptOutcome { kAnswered, kRefusedNotRun, kFailed, kCancelled };

/// What the chooser is asked for.
struct ChoiceRequest {
  const std::vector<UpstreamTarget>& candidates;
  std::string service;
  std::string request_class;
  const std::set<std::string>& tried;  ///< Instances tried for this call.
  uint32_t max_ejected_percent = 0;
};

/// Why an upstream was chosen.
enum class ChoiceReason {
  kUsual,
  kSpillOver,  ///< The own failure domain is saturated or has none left.
  kProbe,      ///< To see whether an ejected upstream has recovered.
};

struct Choice {
  size_t index = 0;  ///< Into the candidates.
  ChoiceReason reason = ChoiceReason::kUsual;

  friend bool operator==(const Choice&, const Choice&) = default;
};

/// Ejections of upstreams so far.
struct ChooserCounts {
  uint64_t ejections = 0;
  uint64_t returns = 0;

  friend bool operator==(const ChooserCounts&, const ChooserCounts&) = default;
};

/// Chooses the upstream of each attempt of one entry, from what answers tell
/// and from its own open attempts. Single-threaded.
class UpstreamChooser {
 public:
  virtual ~UpstreamChooser() = default;

  /// @return the choice; nullopt when none may be chosen, also because all
  /// refused lately for want of room.
  virtual std::optional<Choice> Choose(const ChoiceRequest& request,
                                       Instant now) = 0;

  /// An attempt was sent to an instance.
  virtual void OnSent(const std::string& instance, Instant now) = 0;

  /// An attempt ended.
  /// @param latency from sending to the first byte of the answer.
  virtual void OnEnded(const std::string& instance, AttemptOutcome outcome,
                       Duration latency, Instant now) = 0;

  /// An upstream or its owner refused a request as not run.
  virtual void OnRefused(const std::string& instance,
                         const std::string& request_class, Instant now) = 0;

  /// An upstream's owner refused a request since it had no room.
  virtual void OnFull(const std::string& instance,
                      const std::string& request_class, Instant now) = 0;

  /// A whole answer came.
  virtual void OnAnswerSize(const std::string& service,
                            const std::string& request_class,
                            uint64_t bytes) = 0;

  /// An upstream's owner took a request, as the head of its answer tells.
  virtual void OnTaken(const std::string& instance,
                       const std::string& request_class) = 0;

  /// @return time until a candidate may be asked again after refusals for want
  /// of room; nullopt when there is no candidate.
  virtual std::optional<Duration> UntilRoom(const ChoiceRequest& request,
                                            Instant now) = 0;

  /// A load report came with an answer of an instance.
  /// @param request_class of the answer; the report's service time is its.
  virtual void OnLoad(const std::string& instance,
                      const std::string& request_class, const LoadReport& load,
                      Instant now) = 0;

  virtual ChooserCounts Counts() const = 0;
};

/// Named ways to choose, for measurement against each other.
enum class ChoicePolicy {
  kRoundRobin,
  kRandom,
  kLeastLoaded,        ///< Least of reports that are renewed each second.
  kTwoChoices,         ///< Two at random, the less loaded by fresh knowledge.
  kRemaining,          ///< Fewest unfinished requests.
  kRemainingNotTwice,  ///< The same, but never one upstream twice running.
  kShortestTime,  ///< Two at random of the own domain and of the others, the
                  ///< one whose answer is expected first.
};

/// @return the policy with a name such as "two_choices"; nullopt if none has.
std::optional<ChoicePolicy> ChoicePolicyOf(std::string_view name);

struct ChooserConfig {
  ChoicePolicy policy = ChoicePolicy::kTwoChoices;
  bool ejects = true;          ///< Whether slow upstreams are set aside.
  std::string instance;        ///< This daemon; decides its subset of owners.
  std::string failure_domain;  ///< Of this daemon, preferred.
  uint64_t seed = 0;
};

std::unique_ptr<UpstreamChooser> MakeUpstreamChooser(
    const ChooserConfig& config);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_UPSTREAM_CHOOSER_H_
