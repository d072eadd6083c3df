#include "caller/internal/departure_watch.h"

#include <poll.h>

#include <utility>
#include <vector>

namespace hibiscusglade {
namespace {

/// Half of the 100 ms within which a departure must be noticed.
constexpr std::chrono::milliseconds kLookInterval{50};

}  // namespace

DepartureWatch::DepartureWatch() : thread_([this] { Run(); }) {}

DepartureWatch::~DepartureWatch() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    ended_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void DepartureWatch::Add(int descriptor, std::function<void()> left) {
  std::lock_guard<std::mutex> lock(mutex_);
  const bool was_empty = watched_.empty();
  watched_[descriptor] = std::move(left);
  if (was_empty) changed_.notify_all();
}

void DepartureWatch::Forget(int descriptor) {
  std::lock_guard<std::mutex> lock(mutex_);
  watched_.erase(descriptor);
}

void DepartureWatch::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!ended_) {
    if (watched_.empty()) {
      changed_.wait(lock);
      continue;
    }
    changed_.wait_for(lock, kLookInterval, [this] { return ended_; });
    if (!ended_) Look();
  }
}

/// Called with the mutex held, so that no descriptor is closed meanwhile.
void DepartureWatch::Look() {
  std::vector<pollfd> sockets;
  sockets.reserve(watched_.size());
  for (const auto& [descriptor, left] : watched_) {
    sockets.push_back({descriptor, POLLRDHUP, 0});
  }
  if (poll(sockets.data(), sockets.size(), 0) <= 0) return;
  for (const pollfd& socket : sockets) {
    if ((socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0) continue;
    const std::function<void()> left =
        std::move(watched_.extract(socket.fd).mapped());
    left();
  }
}

}  // namespace hibiscusglade
