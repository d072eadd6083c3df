#ifndef HIBISCUSGLADE_CALLER_CALLER_DIALECT_H_
#define HIBISCUSGLADE_CALLER_CALLER_DIALECT_H_

#include <string>
#include <vector>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Answer of the daemon itself to a request that was refused or failed.
struct ErrorAnswer {
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const ErrorAnswer&, const ErrorAnswer&) = default;
};

/// Names and formats of the header fields and error answers that callers and
/// the daemon exchange beside the request itself. It takes no decisions. Any
/// thread may call it.
class CallerDialect {
 public:
  virtual ~CallerDialect() = default;

  /// Reads an end-to-end header field. Fields addressed to the daemon set
  /// members of the request; all others are added to its headers.
  /// @return false when the value is invalid.
  virtual bool ReadField(const HeaderField& field,
                         CallRequest& request) const = 0;

  /// @return the answer to a request that was refused or failed.
  virtual ErrorAnswer ErrorAnswerFor(const CallRequest& request,
                                     const Refusal& refusal) const = 0;

  /// @return header fields to add to an upstream's answer.
  virtual std::vector<HeaderField> AnswerFields(
      const CallRequest& request) const = 0;
};

/// The default dialect. It reads X-Request-Id, X-Request-Timeout-Ms,
/// X-Request-Depth, X-Caller, Idempotency-Key and a customer's key in
/// Authorization from requests, and drops X-Customer.
const CallerDialect& DefaultCallerDialect();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_CALLER_DIALECT_H_
