#ifndef HIBISCUSGLADE_APP_INTERNAL_MEMORY_REPORTER_H_
#define HIBISCUSGLADE_APP_INTERNAL_MEMORY_REPORTER_H_

#include <functional>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/process_memory.h"

namespace hibiscusglade {

/// Writes a log line when the memory of this process has grown, with what the
/// daemon holds at that time.
class MemoryReporter {
 public:
  /// @param loop runs the checks.
  /// @param holders returns what the daemon holds; called on the loop's thread.
  MemoryReporter(EventLoop& loop, const Clock& clock,
                 std::function<LogFields()> holders)
      : loop_(loop), clock_(clock), holders_(std::move(holders)) {}

  /// To be called before the loop runs.
  void Start();

 private:
  void Check();

  EventLoop& loop_;
  const Clock& clock_;
  std::function<LogFields()> holders_;
  MemoryGrowthGate gate_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_INTERNAL_MEMORY_REPORTER_H_
