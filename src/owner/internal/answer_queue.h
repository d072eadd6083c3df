#ifndef HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_QUEUE_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "calls/call_links.h"
#include "calls/types/call_types.h"

namespace hibiscusglade {

/// One answer whose pieces wait for the link.
struct QueuedAnswer {
  EntryRef entry;
  std::string request_class;
  Instant objective;  ///< Zero: none.
  Instant deadline;
  std::optional<AnswerHead> head;  ///< Empty once it was sent.
  std::deque<std::string> pieces;
  uint64_t queued_bytes = 0;  ///< Of the pieces.
  uint64_t next_sequence = 0;
  std::optional<AnswerEnd> end;  ///< Set once the upstream has sent all.
  Instant ended_at;              ///< When `end` was set.

  /// @return whether there is something to send now.
  bool Ready() const { return !pieces.empty() || end.has_value(); }
};

/// The answers that wait for the link, by attempt.
class AnswerQueue {
 public:
  using Map = std::map<AttemptId, QueuedAnswer>;

  QueuedAnswer& Add(const AttemptId& attempt) { return answers_[attempt]; }
  QueuedAnswer* Find(const AttemptId& attempt) {
    auto found = answers_.find(attempt);
    return found == answers_.end() ? nullptr : &found->second;
  }
  bool Contains(const AttemptId& attempt) const {
    return answers_.contains(attempt);
  }
  bool Empty() const { return answers_.empty(); }
  void Remove(const AttemptId& attempt) { answers_.erase(attempt); }

  /// The earliest objective goes first: while the link has more to carry than
  /// it can, whole answers then arrive in time one after the other, instead of
  /// all of them late together. One that has missed its objective waits until
  /// its deadline is the earliest.
  /// @return the answer whose next piece is sent first; the end of the map when
  /// nothing is ready.
  Map::iterator Next(Instant now) {
    auto next = answers_.end();
    for (auto item = answers_.begin(); item != answers_.end(); ++item) {
      if (!item->second.Ready()) continue;
      if (next == answers_.end() ||
          DueAt(item->second, now) < DueAt(next->second, now)) {
        next = item;
      }
    }
    return next;
  }
  Map::iterator End() { return answers_.end(); }

 private:
  static Instant DueAt(const QueuedAnswer& answer, Instant now) {
    return answer.objective > now ? answer.objective : answer.deadline;
  }

  Map answers_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_QUEUE_H_
