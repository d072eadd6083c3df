#ifndef HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_

#include <functional>
#include <string>
#include <system_error>

#include "base/metrics.h"
#include "calls/call_links.h"
#include "owner/internal/job.h"

namespace hibiscusglade {

/// Sends answers and refusals of jobs to their entries, and counts refusals.
class AnswerSender {
 public:
  /// Returns the upstream's load, with the service time of a class.
  using LoadSource =
      std::function<LoadReport(const std::string& request_class)>;

  AnswerSender(EntryLink& entries, Metrics& metrics, LoadSource load);

  void SendHead(Job& job);
  void SendData(Job& job, const std::string& data);
  void SendEnd(const Job& job);

  /// Sends a whole answer, as encoded for the ledger.
  /// @param encoded an encoded KeptAnswer.
  void SendKeptAnswer(Job& job, const std::string& encoded);

  void SendRefusal(const Job& job, const std::error_code& code,
                   Certainty certainty, const std::string& detail = "",
                   Duration retry_after = {});

 private:
  EntryLink& entries_;
  Metrics& metrics_;
  LoadSource load_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_
