#ifndef HIBISCUSGLADE_BASE_EVENT_LOOP_H_
#define HIBISCUSGLADE_BASE_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/clock.h"

namespace hibiscusglade {

/// Waits for descriptors and timers on one thread and calls back on it. All
/// methods are for that thread, or for before it runs.
class EventLoop {
 public:
  using Task = std::function<void()>;
  /// @param events EPOLLIN and its kin, as they came.
  using Callback = std::function<void(uint32_t events)>;
  using TimerId = uint64_t;

  explicit EventLoop(const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Watches a descriptor, or changes what is waited for. It must be forgotten
  /// before it is closed.
  /// @param events EPOLLIN and its kin; level-triggered.
  void Watch(int descriptor, uint32_t events, Callback callback);
  void Change(int descriptor, uint32_t events);
  void Forget(int descriptor);

  /// Calls a task once, at a time.
  TimerId SetTimer(Instant at, Task task);
  void ClearTimer(TimerId timer);

  /// Runs a task at the end of this turn, or of the next one.
  void Defer(Task task) { deferred_.push_back(std::move(task)); }

  /// Waits for the next event and handles all that have come.
  /// @param longest longest wait.
  void Turn(Duration longest);

 private:
  struct Watched {
    uint32_t events = 0;
    std::shared_ptr<Callback> callback;
  };

  int WaitMillis(Duration longest) const;
  void RunTimers();
  void RunDeferred();

  const Clock& clock_;
  int epoll_;
  std::map<int, Watched> watched_;
  std::map<std::pair<Instant, TimerId>, Task> timers_;
  std::map<TimerId, Instant> timer_times_;
  TimerId last_timer_ = 0;
  std::vector<Task> deferred_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_EVENT_LOOP_H_
