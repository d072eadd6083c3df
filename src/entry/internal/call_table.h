#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_CALL_TABLE_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_CALL_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "entry/internal/open_call.h"

namespace hibiscusglade {

/// An attempt that has not ended.
struct OpenAttempt {
  CallHandle call = 0;
  std::string instance;
  std::string owner;
  Instant sent;
  bool is_hedge = false;
  bool offered = false;      ///< The body is sent as the owner grants it.
  uint64_t body_sent = 0;    ///< Bytes of an offered body.
  std::string version = {};  ///< Of the upstream's software.
  uint32_t status = 0;       ///< Of the answer; 0: none has begun.
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

  OpenAttempt* FindAttempt(const AttemptId& id) {
    auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : &found->second;
  }

  /// @return whether an upstream may have run the request of a call, or be
  /// running it. No owner runs a request before its body is whole.
  bool MayHaveRun(const OpenCall& call) const {
    if (call.FailedAsUnknown()) return true;
    return std::ranges::any_of(call.open_attempts, [&](const AttemptId& id) {
      const OpenAttempt& attempt = attempts_.at(id);
      return !attempt.offered || HasWholeBody(attempt);
    });
  }

  /// @return whether all of an offered body was sent.
  bool HasWholeBody(const OpenAttempt& attempt) const {
    return attempt.body_sent == calls_.at(attempt.call).request.body.size();
  }

  /// @return the latest deadline of a call; Instant{} if there is none.
  Instant LatestDeadline() const {
    Instant latest{};
    for (const auto& [handle, call] : calls_) {
      latest = std::max(latest, call.answer_deadline);
    }
    return latest;
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
