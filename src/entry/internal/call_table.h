#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_CALL_TABLE_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_CALL_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/digest.h"
#include "calls/call_handler.h"
#include "routing/types/route_table.h"

namespace hibiscusglade {

/// An attempt that has not ended.
struct OpenAttempt {
  CallHandle call = 0;
  std::string instance;
  std::string owner;
  Instant sent;
  bool is_hedge = false;
};

/// The part of an answer that was received, while none was forwarded.
struct HeldAnswer {
  AnswerHead head;
  std::string body;
  Instant since;  ///< When the head arrived.

  friend bool operator==(const HeldAnswer&, const HeldAnswer&) = default;
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
  LimitsConfig limits;
  std::string service;  ///< Of the route, or picked from its shares.
  UpstreamListPtr upstreams;
  Instant began;
  Instant deadline;
  Instant answer_deadline;  ///< In force once an answer has begun to arrive.
  Instant objective;        ///< A later answer misses the latency objective.
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

/// The calls and attempts that are open at one entry.
class CallTable {
 public:
  OpenCall& Add(CallHandle handle, OpenCall call) {
    return calls_[handle] = std::move(call);
  }

  /// @return nullptr when the call is not open.
  OpenCall* Find(CallHandle handle) {
    auto found = calls_.find(handle);
    return found == calls_.end() ? nullptr : &found->second;
  }

  /// @return nullptr when the attempt is not open.
  const OpenAttempt* FindAttempt(const AttemptId& id) const {
    auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : &found->second;
  }

  void AddAttempt(const AttemptId& id, OpenAttempt attempt) {
    calls_[attempt.call].open_attempts.insert(id);
    attempts_[id] = std::move(attempt);
  }

  /// Removes an open attempt and returns it.
  OpenAttempt RemoveAttempt(const AttemptId& id) {
    OpenAttempt attempt = std::move(attempts_.at(id));
    attempts_.erase(id);
    calls_[attempt.call].open_attempts.erase(id);
    return attempt;
  }

  /// Removes a call; its attempts must have been removed.
  void Remove(CallHandle handle) { calls_.erase(handle); }

  std::vector<AttemptId> AttemptsAt(const std::string& owner) const {
    std::vector<AttemptId> open;
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.owner == owner) open.push_back(id);
    }
    return open;
  }

  std::vector<CallHandle> Handles() const {
    std::vector<CallHandle> handles;
    for (const auto& [handle, call] : calls_) handles.push_back(handle);
    return handles;
  }

  bool Empty() const { return calls_.empty(); }
  size_t Calls() const { return calls_.size(); }
  size_t Attempts() const { return attempts_.size(); }

  /// @return bytes of the requests' bodies.
  size_t RequestBytes() const {
    size_t bytes = 0;
    for (const auto& [handle, call] : calls_) bytes += call.request.body.size();
    return bytes;
  }

 private:
  std::map<CallHandle, OpenCall> calls_;
  std::map<AttemptId, OpenAttempt> attempts_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_CALL_TABLE_H_
