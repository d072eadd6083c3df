#ifndef HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_

#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "base/metrics.h"
#include "calls/call_links.h"
#include "owner/internal/answer_queue.h"
#include "owner/internal/job.h"
#include "owner/internal/link_budget.h"

namespace hibiscusglade {

/// Sends answers and refusals of jobs to their entries, and counts refusals.
/// Large answers to other instances wait in a queue and are sent at the rate of
/// the link, earliest objective first; short ones are sent at once.
class AnswerSender {
 public:
  /// Returns the upstream's load, with the service time of a class.
  using LoadSource =
      std::function<LoadReport(const std::string& request_class)>;

  AnswerSender(EntryLink& entries, Metrics& metrics, const Clock& clock,
               double link_mbps, std::vector<const Counter*> link_traffic,
               LoadSource load);

  /// @return nullopt when the link has room for the answer to a new attempt;
  /// otherwise how long it takes until it will.
  std::optional<Duration> WaitForRoom(const Job& job, Instant now);

  /// An attempt was accepted: its answer will have to be sent.
  void OnAccepted(const Job& job);

  /// The owner has no further part in an attempt. What is queued of a whole
  /// answer will still be sent; the rest of a broken one is dropped.
  void OnRemoved(const Job& job);

  void SendHead(Job& job);
  void SendData(Job& job, const std::string& data);
  void SendEnd(const Job& job);

  /// Sends a whole answer, as encoded for the ledger.
  /// @param encoded an encoded KeptAnswer.
  void SendKeptAnswer(Job& job, const std::string& encoded);

  void SendRefusal(const Job& job, const std::error_code& code,
                   Certainty certainty, const std::string& detail = "",
                   Duration retry_after = {});

  /// Sends as much of the queued answers as the link can carry now.
  void SendQueued(Instant now);

  /// Drops what is queued of an answer that its entry no longer needs.
  void Drop(const AttemptId& attempt);

  bool HasQueued(const AttemptId& attempt) const {
    return queue_.Contains(attempt);
  }
  bool Idle() const { return queue_.Empty(); }

 private:
  /// @return the entry's queue for the answer; nullptr when it is sent at once.
  QueuedAnswer* QueueOf(const Job& job) { return queue_.Find(job.attempt.id); }
  bool CrossesLimitedLink(const Job& job) const {
    return budget_.Limited() && !job.entry.empty();
  }
  void SendNext(const AttemptId& attempt, QueuedAnswer& answer, Instant now);
  void PublishBacklog();

  EntryLink& entries_;
  Metrics& metrics_;
  const Clock& clock_;
  LinkBudget budget_;
  std::vector<const Counter*> link_traffic_;
  LoadSource load_;
  AnswerQueue queue_;
  uint64_t published_backlog_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_
