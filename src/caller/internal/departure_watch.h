#ifndef HIBISCUSGLADE_CALLER_INTERNAL_DEPARTURE_WATCH_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_DEPARTURE_WATCH_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace hibiscusglade {

/// Notices callers that close their connection while their request waits or
/// runs. The HTTP server does not look at a suspended connection, so this
/// asks the system about all of them at once, several times a second.
class DepartureWatch {
 public:
  DepartureWatch();
  ~DepartureWatch();
  DepartureWatch(const DepartureWatch&) = delete;
  DepartureWatch& operator=(const DepartureWatch&) = delete;

  /// Watches a connection.
  /// @param descriptor of its socket; it stays open until Forget().
  /// @param left called once, on the watch's thread, when the caller has left.
  void Add(int descriptor, std::function<void()> left);

  /// Ends the watch; `left` is not running and not called afterwards.
  void Forget(int descriptor);

 private:
  void Run();
  void Look();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<int, std::function<void()>> watched_;
  bool ended_ = false;
  std::thread thread_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_DEPARTURE_WATCH_H_
