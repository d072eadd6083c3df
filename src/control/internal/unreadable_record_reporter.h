#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_UNREADABLE_RECORD_REPORTER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_UNREADABLE_RECORD_REPORTER_H_

#include "base/clock.h"
#include "base/log.h"
#include "membership/membership.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Logs that gossip came with records that can't be read.
class UnreadableRecordReporter {
 public:
  explicit UnreadableRecordReporter(const Clock& clock) : clock_(clock) {}

  /// @param message as received.
  /// @param read what could be read of it.
  void Report(const wire::Envelope& message, const MembershipMessage& read);

 private:
  const Clock& clock_;
  LogRateLimiter lines_{1};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_UNREADABLE_RECORD_REPORTER_H_
