#ifndef HIBISCUSGLADE_BASE_EVENT_LOOP_H_
#define HIBISCUSGLADE_BASE_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/clock.h"

namespace hibiscusglade {

/// Waits for file descriptors and timers on one thread and runs their
/// callbacks on it. Not thread-safe: call the methods on that thread only, or
/// before that thread starts.
class EventLoop {
 public:
  using Task = std::function<void()>;
  /// @param events the epoll events that occurred, such as EPOLLIN.
  using Callback = std::function<void(uint32_t events)>;
  using TimerId = uint64_t;

  explicit EventLoop(const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Starts to watch a descriptor, or replaces the events and the callback of
  /// a watched one. Call Unwatch() before the descriptor is closed.
  /// @param events epoll events such as EPOLLIN; level-triggered.
  void Watch(int descriptor, uint32_t events, Callback callback);

  /// Replaces the events of a watched descriptor; the callback stays.
  void ChangeEvents(int descriptor, uint32_t events);

  /// Stops watching a descriptor.
  void Unwatch(int descriptor);

  /// Runs a task once, when `at` is reached.
  TimerId SetTimer(Instant at, Task task);
  void ClearTimer(TimerId timer);

  /// Runs a task at the end of the current RunOnce(), or of the next one when
  /// none is in progress.
  void Defer(Task task) { deferred_.push_back(std::move(task)); }

  /// Waits for the next event or timer, then runs the callbacks of the ready
  /// descriptors, the expired timers and the deferred tasks.
  /// @param max_wait time after which it returns without an event.
  void RunOnce(Duration max_wait);

 private:
  struct Watched {
    uint32_t events = 0;
    std::shared_ptr<Callback> callback;
  };

  int WaitMillis(Duration max_wait) const;
  void RunTimers();
  void RunDeferred();

  const Clock& clock_;
  int epoll_;
  std::map<int, Watched> watched_;
  std::map<std::pair<Instant, TimerId>, Task> timers_;
  std::map<TimerId, Instant> timer_expiries_;
  TimerId last_timer_id_ = 0;
  std::vector<Task> deferred_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_EVENT_LOOP_H_
