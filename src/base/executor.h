#ifndef HIBISCUSGLADE_BASE_EXECUTOR_H_
#define HIBISCUSGLADE_BASE_EXECUTOR_H_

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <type_traits>
#include <utility>
#include <vector>

namespace hibiscusglade {

/// Queue of tasks that any thread posts and that one thread runs, woken by a
/// file descriptor.
class Executor {
 public:
  using Task = std::function<void()>;

  Executor();
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  /// Queues a task. Thread-safe.
  void Post(Task task);

  /// @return the descriptor that is readable while tasks are queued.
  int WakeDescriptor() const { return wake_descriptor_; }

  /// Runs all queued tasks on the calling thread.
  void RunPending();

 private:
  int wake_descriptor_;
  std::mutex mutex_;
  std::vector<Task> tasks_;
};

/// Runs a function on the executor's thread and waits for its result. Must not
/// be called on that thread, which must be running.
template <typename Function>
auto RunAndWait(Executor& executor, Function function) {
  using Result = std::invoke_result_t<Function>;
  auto promise = std::make_shared<std::promise<Result>>();
  std::future<Result> result = promise->get_future();
  executor.Post([promise, function = std::move(function)] {
    promise->set_value(function());
  });
  return result.get();
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_EXECUTOR_H_
