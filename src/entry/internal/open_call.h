#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_OPEN_CALL_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_OPEN_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/digest.h"
#include "calls/call_handler.h"
#include "entry/internal/attempt_policy.h"
#include "routing/types/route_table.h"

namespace hibiscusglade {

/// The part of an answer that was received, while none was forwarded.
struct HeldAnswer {
  AnswerHead head;
  std::string body;
  Instant since;  ///< When the head arrived.

  /// @return whether an answer is forwarded only once it is complete, or has
  /// been held for too long. Short answers are, so that another attempt or an
  /// error can replace one that breaks off; a partly forwarded one ends the
  /// caller's connection.
  static bool Holds(const AnswerHead& head);

  /// @return whether more was received than is held of one answer.
  bool IsTooLarge() const;

  friend bool operator==(const HeldAnswer&, const HeldAnswer&) = default;
};

/// What a call needs of its service's rollout, while one runs.
struct RunningRollout {
  uint64_t order = 0;  ///< 0: none runs.
  std::string target_version;

  friend bool operator==(const RunningRollout&,
                         const RunningRollout&) = default;
};

/// A call that has not ended. Its answer comes from one attempt only, the first
/// one whose head arrives.
struct OpenCall {
  CallRequest request;
  std::unique_ptr<CallerStream> stream;
  // Copies of what the call needs of the route table that it began with. The
  // table itself would keep the whole version in memory until the call ends.
  uint64_t version = 0;
  /// How long before the call the version was last confirmed as the latest.
  std::optional<Duration> confirmed_ago;
  std::optional<RouteConfig> route;
  std::optional<CustomerConfig> customer;  ///< Without its keys.
  bool counted = false;                    ///< Towards the customer's limit.
  LimitsConfig limits;
  std::string service;  ///< Of the route, or picked from its shares.
  UpstreamListPtr upstreams;
  /// Where attempts go after one at `upstreams`; nullptr: there again. See
  /// VersionCandidates.
  UpstreamListPtr other_upstreams;
  RunningRollout rollout;
  Instant began;
  Instant deadline;
  Instant answer_deadline;  ///< In force once an answer has begun to arrive.
  Instant objective;        ///< A later answer misses the latency objective.
  /// Whether an upstream makes the call for a request that it runs.
  bool begun_work = false;
  std::set<AttemptId> open_attempts;
  AttemptId answering;  ///< Attempt whose answer is received, if any.
  /// Answer that is forwarded once it is complete.
  std::optional<HeldAnswer> held;
  uint32_t attempts = 0;  ///< Counted towards the route's limit.
  std::set<std::string> tried;
  std::optional<Refusal> last_refusal;
  std::optional<Instant> retry_at;
  bool hedged = false;
  uint64_t next_chunk = 0;
  uint64_t bytes = 0;
  Digest digest = 0;

  Instant CurrentDeadline() const {
    return answering.empty() ? deadline : answer_deadline;
  }

  bool HeadForwarded() const { return !answering.empty() && !held; }

  /// @return what the decision about another attempt depends on.
  CallProgress Progress() const;

  /// @return whether what is held must be forwarded though more may come.
  bool HeldTooLong(Instant now) const;

  /// Holds or forwards the next chunk of the answer.
  void Receive(std::string data);

  /// Forwards what is held of an answer.
  void ForwardHeld();

  /// Lets further attempts go to the other versions of the service.
  /// @return whether these are other upstreams than before.
  bool UseOtherUpstreams() {
    if (other_upstreams == nullptr) return false;
    upstreams = std::exchange(other_upstreams, nullptr);
    return true;
  }

  /// Sets the deadlines by the route's timeout and the caller's.
  void SetDeadlines(Instant now);

  /// @return whether an attempt failed with an unknown outcome.
  bool FailedAsUnknown() const {
    return last_refusal.has_value() &&
           last_refusal->certainty != Certainty::kNotRun;
  }

  /// @return whether the body is offered to owners of other instances before it
  /// is sent. A short one takes the link for less time than the round trip.
  bool HasLargeBody() const;

  /// @param offered whether the attempt offers the body.
  /// @return an attempt at the call, to be sent at time `now`.
  CallAttempt NewAttempt(const AttemptId& id, bool offered, Instant now);

  /// Forgets what was received of an answer that was not forwarded.
  void DropHeldAnswer() {
    answering.clear();
    held.reset();
    next_chunk = 0;
    bytes = 0;
    digest = 0;
  }

  /// Records the refusal to report to the caller. One with an unknown outcome
  /// is never replaced by one that states that the request was not run.
  void RecordRefusal(const Refusal& refusal) {
    if (last_refusal.has_value() &&
        last_refusal->certainty == Certainty::kUnknown &&
        refusal.certainty == Certainty::kNotRun) {
      return;
    }
    last_refusal = refusal;
  }
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_OPEN_CALL_H_
