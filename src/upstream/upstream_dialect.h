#ifndef HIBISCUSGLADE_UPSTREAM_UPSTREAM_DIALECT_H_
#define HIBISCUSGLADE_UPSTREAM_UPSTREAM_DIALECT_H_

#include <chrono>
#include <vector>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// What the head of an answer says of a run.
enum class HeadMeaning {
  kAnswer,         ///< The upstream's answer to this request.
  kNotRun,         ///< The upstream states that it did not run it.
  kOtherUpstream,  ///< Another upstream has the address; it did not run it.
  kForeign,        ///< Not an answer to this request.
};

/// How upstreams and this daemon speak: names and formats of what is said
/// beside the request itself. Decides nothing. Any thread may call it.
class UpstreamDialect {
 public:
  virtual ~UpstreamDialect() = default;

  /// @param remaining until the deadline.
  /// @return fields to add to the caller's.
  virtual std::vector<HeaderField> RequestFields(
      const CallAttempt& attempt,
      std::chrono::milliseconds remaining) const = 0;

  virtual HeadMeaning MeaningOf(const CallAttempt& attempt,
                                const AnswerHead& head) const = 0;
};

/// The product's own dialect; docs/OPERATIONS.md lists its fields.
const UpstreamDialect& OwnUpstreamDialect();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_UPSTREAM_DIALECT_H_
