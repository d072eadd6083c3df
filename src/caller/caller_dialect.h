#ifndef HIBISCUSGLADE_CALLER_CALLER_DIALECT_H_
#define HIBISCUSGLADE_CALLER_CALLER_DIALECT_H_

#include <string>
#include <vector>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// What a caller gets in place of an upstream's answer.
struct CallerNotice {
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const CallerNotice&, const CallerNotice&) = default;
};

/// How callers and this daemon speak: names and formats of what is said
/// beside the request itself. Decides nothing. Any thread may call it.
class CallerDialect {
 public:
  virtual ~CallerDialect() = default;

  /// Takes a header field that concerns more than one connection. What is
  /// meant for the daemons goes into the request's own members; the rest is
  /// added to its headers.
  /// @return false when the value can't be read.
  virtual bool TakeField(const HeaderField& field,
                         CallRequest& request) const = 0;

  /// @return what a caller is told when its request is refused or fails.
  virtual CallerNotice NoticeOf(const CallRequest& request,
                                const Refusal& refusal) const = 0;

  /// @return fields to add to an upstream's answer.
  virtual std::vector<HeaderField> AnswerFields(
      const CallRequest& request) const = 0;
};

/// The product's own dialect; docs/OPERATIONS.md lists its fields.
const CallerDialect& OwnCallerDialect();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_CALLER_DIALECT_H_
