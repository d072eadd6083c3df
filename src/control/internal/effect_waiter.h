#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_EFFECT_WAITER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_EFFECT_WAITER_H_

#include <functional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/executor.h"
#include "control/control_loop.h"
#include "control/internal/leave_recorder.h"

namespace hibiscusglade {

/// Lets other threads wait until what they change on the control thread is in
/// effect for requests.
class EffectWaiter {
 public:
  /// @param executor of the control thread; must outlive this object.
  /// @param timeout longest wait.
  EffectWaiter(Executor& executor, Duration timeout)
      : executor_(executor), timeout_(timeout) {}

  /// Runs a function on the control thread and waits until it has called what
  /// it is given, and what it changed is in effect for requests.
  /// @return whether it was given true, before the timeout.
  bool RunAndWait(std::function<void(LeaveRecorder::Done)> work);

  /// The view with all changes so far was published. To be called on the
  /// control thread.
  void OnPublished(LocalUpstreamListener& listener);

 private:
  Executor& executor_;
  Duration timeout_;
  /// Called when the view that is published next is in effect.
  std::vector<std::function<void()>> waiting_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_EFFECT_WAITER_H_
