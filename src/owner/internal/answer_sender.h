#ifndef HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_

#include <functional>
#include <string>
#include <system_error>

#include "base/metrics.h"
#include "calls/call_links.h"
#include "owner/internal/job.h"

namespace hibiscusglade {

/// Sends answers and refusals back to the entries of jobs, and counts them.
class AnswerSender {
 public:
  /// Gives the load as a class of requests sees it.
  using LoadSource =
      std::function<LoadReport(const std::string& request_class)>;

  AnswerSender(EntryLink& entries, Metrics& metrics, LoadSource load);

  void Head(Job& job);
  void Data(Job& job, const std::string& data);
  void End(const Job& job);

  /// Sends an answer that was kept, or one that was to be kept.
  /// @param encoded a KeptAnswer.
  void Kept(Job& job, const std::string& encoded);

  void Refused(const Job& job, const std::error_code& code, Certainty certainty,
               const std::string& detail = "", Duration retry_after = {});

 private:
  EntryLink& entries_;
  Metrics& metrics_;
  LoadSource load_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_ANSWER_SENDER_H_
