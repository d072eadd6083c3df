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

class FlowRouter;

/// How an attempt ended, from the view of its entry.
enum class AttemptOutcome { kAnswered, kRefusedNotRun, kFailed, kCancelled };

/// Inputs for the choice of an upstream for one attempt.
struct ChoiceRequest {
  const std::vector<UpstreamTarget>& candidates;
  std::string service;
  std::string request_class;
  const std::set<std::string>& tried;  ///< Instances tried for this call.
  uint32_t max_ejected_percent = 0;
  uint64_t body_bytes = 0;  ///< Of the request.
};

/// Why an upstream was chosen.
enum class ChoiceReason {
  kOwnDomain,    ///< The usual case.
  kSpillOver,    ///< Own domain saturated, slower or without candidates.
  kProbe,        ///< Checks whether an ejected upstream has recovered.
  kOwnInstance,  ///< A large body that then crosses no link.
  kPlanned,      ///< The plan sends it to another failure domain.
};

struct Choice {
  size_t index = 0;  ///< Into the candidates.
  ChoiceReason reason = ChoiceReason::kOwnDomain;

  friend bool operator==(const Choice&, const Choice&) = default;
};

/// Numbers of upstreams ejected and reinstated since the start.
struct EjectionCounts {
  uint64_t ejections = 0;
  uint64_t reinstatements = 0;

  friend bool operator==(const EjectionCounts&,
                         const EjectionCounts&) = default;
};

/// Chooses the upstream for each attempt of one entry, from the load reports
/// and outcomes of earlier attempts and from the entry's open attempts.
/// Single-threaded.
class UpstreamChooser {
 public:
  virtual ~UpstreamChooser() = default;

  /// @return the choice; nullopt when no candidate may be chosen, for example
  /// because the entry backs off from all of them after capacity refusals.
  virtual std::optional<Choice> Choose(const ChoiceRequest& request,
                                       Instant now) = 0;

  /// An attempt was sent to an instance.
  virtual void OnSent(const std::string& instance, Instant now) = 0;

  /// An attempt ended.
  /// @param latency from sending to the end of the attempt.
  virtual void OnEnded(const std::string& instance, AttemptOutcome outcome,
                       Duration latency, Instant now) = 0;

  /// An upstream or its owner refused a request as not run, for a reason other
  /// than lack of capacity.
  virtual void OnRefused(const std::string& instance,
                         const std::string& request_class, Instant now) = 0;

  /// An upstream's owner refused a request for lack of capacity.
  virtual void OnCapacityRefusal(const std::string& instance,
                                 const std::string& request_class,
                                 Instant now) = 0;

  /// A whole answer was received.
  /// @param bytes size of its body.
  virtual void OnAnswerSize(const std::string& service,
                            const std::string& request_class,
                            uint64_t bytes) = 0;

  /// An upstream's owner admitted a request: the head of the answer has
  /// arrived.
  virtual void OnAdmitted(const std::string& instance,
                          const std::string& request_class) = 0;

  /// @return time until a candidate may be chosen again after capacity
  /// refusals, zero when one may be chosen now; nullopt when there is no
  /// candidate.
  virtual std::optional<Duration> RemainingBackoff(const ChoiceRequest& request,
                                                   Instant now) = 0;

  /// An answer of an instance brought a load report.
  /// @param request_class class to which the report's service time applies.
  virtual void OnLoad(const std::string& instance,
                      const std::string& request_class, const LoadReport& load,
                      Instant now) = 0;

  virtual EjectionCounts Counts() const = 0;
};

/// Load-balancing policies, selectable by name to compare their performance.
enum class ChoicePolicy {
  kRoundRobin,
  kRandom,
  kLeastLoaded,        ///< Least loaded by reports sampled once a second.
  kTwoChoices,         ///< The less loaded of two chosen at random.
  kTwoChoicesBySpeed,  ///< As kTwoChoices, load times the reported time.
  kRemaining,          ///< Fewest unfinished requests per slot.
  kRemainingNotTwice,  ///< As kRemaining, but never the same twice in a row.
  kShortestTime,  ///< Of two from the own domain and two from the others, all
                  ///< chosen at random, the one expected to answer first.
};

/// @return the policy of a name such as "two_choices"; nullopt when unknown.
std::optional<ChoicePolicy> ParseChoicePolicy(std::string_view name);

struct ChooserConfig {
  ChoicePolicy policy = ChoicePolicy::kTwoChoices;
  bool ejection_enabled = true;  ///< Of slow and of failing upstreams.
  std::string instance;  ///< Of this daemon; determines its subset of owners.
  std::string failure_domain;  ///< Of this daemon; preferred over the others.
  uint64_t seed = 0;
  bool plans_enabled = true;  ///< For what leaves the failure domain.
  /// Plans of what leaves the failure domain, for measures of demand too; must
  /// outlive the chooser. nullptr: each choice is made on its own.
  FlowRouter* flows = nullptr;
};

std::unique_ptr<UpstreamChooser> MakeUpstreamChooser(
    const ChooserConfig& config);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_UPSTREAM_CHOOSER_H_
