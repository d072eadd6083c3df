#ifndef HIBISCUSGLADE_UPSTREAM_UPSTREAM_DIALECT_H_
#define HIBISCUSGLADE_UPSTREAM_UPSTREAM_DIALECT_H_

#include <chrono>
#include <vector>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Interpretation of the head of an answer.
enum class AnswerHeadKind {
  kAnswer,         ///< The upstream's answer to this request.
  kNotRun,         ///< The upstream reports that it did not run the request.
  kOtherUpstream,  ///< Not run: another upstream uses the address now.
  kMismatched,     ///< An answer to another request, or an invalid one.
};

/// Names and formats of the header fields that the daemon and its upstream
/// exchange beside the request itself. It takes no decisions. Any thread may
/// call it.
class UpstreamDialect {
 public:
  virtual ~UpstreamDialect() = default;

  /// @param remaining time until the deadline.
  /// @return header fields to add to those of the caller's request.
  virtual std::vector<HeaderField> RequestFields(
      const CallAttempt& attempt,
      std::chrono::milliseconds remaining) const = 0;

  virtual AnswerHeadKind ClassifyHead(const CallAttempt& attempt,
                                      const AnswerHead& head) const = 0;

  /// @return whether an answer states that it belongs to this attempt's
  /// request.
  virtual bool NamesRequest(const CallAttempt& attempt,
                            const AnswerHead& head) const = 0;
};

/// The default dialect. It adds X-Request-Id, X-Request-Timeout-Ms and
/// X-Request-Depth to requests, and X-Customer to those of a customer.
const UpstreamDialect& DefaultUpstreamDialect();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_UPSTREAM_DIALECT_H_
