#include "base/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace hibiscusglade {
namespace {

constexpr int kMaxEventsPerIteration = 64;

}  // namespace

EventLoop::EventLoop(const Clock& clock)
    : clock_(clock), epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

EventLoop::~EventLoop() { close(epoll_); }

void EventLoop::Watch(int descriptor, uint32_t events, Callback callback) {
  Watched& watched = watched_[descriptor];
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  const int operation =
      watched.callback == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  const bool set = epoll_ctl(epoll_, operation, descriptor, &event) == 0;
  // A library may have closed the watched descriptor, which removes it from
  // epoll, and the system reused its number for this one.
  if (!set && errno == ENOENT) {
    epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
  }
  watched = {events, std::make_shared<Callback>(std::move(callback))};
}

void EventLoop::ChangeEvents(int descriptor, uint32_t events) {
  auto found = watched_.find(descriptor);
  if (found == watched_.end() || found->second.events == events) return;
  found->second.events = events;
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event);
}

void EventLoop::Unwatch(int descriptor) {
  if (watched_.erase(descriptor) == 0) return;
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

EventLoop::TimerId EventLoop::SetTimer(Instant at, Task task) {
  const TimerId timer = ++last_timer_id_;
  timers_[{at, timer}] = std::move(task);
  timer_expiries_[timer] = at;
  return timer;
}

void EventLoop::ClearTimer(TimerId timer) {
  auto found = timer_expiries_.find(timer);
  if (found == timer_expiries_.end()) return;
  timers_.erase({found->second, timer});
  timer_expiries_.erase(found);
}

void EventLoop::RunOnce(Duration max_wait) {
  std::array<epoll_event, kMaxEventsPerIteration> events{};
  const int count = epoll_wait(epoll_, events.data(), kMaxEventsPerIteration,
                               WaitMillis(max_wait));
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<size_t>(i)];
    // An earlier callback of this iteration may have called Unwatch() for it.
    auto found = watched_.find(event.data.fd);
    if (found == watched_.end()) continue;
    const std::shared_ptr<Callback> callback = found->second.callback;
    (*callback)(event.events);
  }
  RunTimers();
  RunDeferred();
}

int EventLoop::WaitMillis(Duration max_wait) const {
  if (!deferred_.empty()) return 0;
  Duration wait = max_wait;
  if (!timers_.empty()) {
    wait = std::min(wait, timers_.begin()->first.first - clock_.Now());
  }
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait);
  return static_cast<int>(std::max<int64_t>(0, millis.count()));
}

void EventLoop::RunTimers() {
  if (timers_.empty()) return;
  const Instant now = clock_.Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto due = timers_.extract(timers_.begin());
    timer_expiries_.erase(due.key().second);
    due.mapped()();
  }
}

void EventLoop::RunDeferred() {
  // A task may defer further tasks, which run in the same iteration. The index
  // stays valid when they reallocate the vector.
  for (size_t i = 0; i < deferred_.size(); ++i) {
    const Task task = std::move(deferred_[i]);
    task();
  }
  deferred_.clear();
}

}  // namespace hibiscusglade
