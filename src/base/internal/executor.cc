#include "base/executor.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace hibiscusglade {

Executor::Executor()
    : wake_descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Executor::~Executor() { close(wake_descriptor_); }

void Executor::Post(Task task) {
  bool was_empty = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    was_empty = tasks_.empty();
    tasks_.push_back(std::move(task));
  }
  if (!was_empty) return;
  uint64_t one = 1;
  [[maybe_unused]] ssize_t bytes_written =
      write(wake_descriptor_, &one, sizeof(one));
}

void Executor::RunPending() {
  uint64_t count = 0;
  [[maybe_unused]] ssize_t bytes_read =
      read(wake_descriptor_, &count, sizeof(count));
  std::vector<Task> tasks;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    tasks.swap(tasks_);
  }
  for (Task& task : tasks) task();
}

}  // namespace hibiscusglade
