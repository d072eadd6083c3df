#ifndef HIBISCUSGLADE_TESTS_TOOLS_STANDIN_BEHAVIOR_H_
#define HIBISCUSGLADE_TESTS_TOOLS_STANDIN_BEHAVIOR_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace hibiscusglade {

/// Settings of a stand-in upstream; /standin/set changes them at run time.
struct StandinSettings {
  int service_ms = 2;        ///< Service time of a request without ?ms=N.
  int slowdown = 1;          ///< Factor on all service times.
  int straggler_every = 0;   ///< Every n-th request is a straggler; 0: none.
  int straggler_factor = 1;  ///< How many times longer a straggler runs.
  int cold_ms = 0;           ///< Period after the start with `cold_factor`.
  int cold_factor = 1;       ///< Factor on service times in that period.

  /// Changes one setting.
  /// @return false when no setting has that name.
  bool Set(const std::string& name, int value);

  /// @param number the request's number since the start, from 1.
  /// @param requested_ms service time before the factors are applied.
  /// @param uptime time since the start.
  std::chrono::milliseconds ServiceTime(uint64_t number, int requested_ms,
                                        std::chrono::milliseconds uptime) const;
};

/// The stand-in's slots. A request that finds none free waits for one.
class StandinSlots {
 public:
  explicit StandinSlots(int slots) : free_(slots) {}

  void Acquire();
  void Release();

  /// @return how many requests found no free slot.
  uint64_t WaitCount();
  /// @return the largest number of slots in use at the same time.
  int MaxInUse();

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int free_;
  int in_use_ = 0;
  int max_in_use_ = 0;
  uint64_t wait_count_ = 0;
};

/// Counts runs per request and per idempotency key.
class StandinRuns {
 public:
  /// @param key idempotency key; not counted when empty.
  /// @return the run's number since the start, from 1.
  uint64_t Add(const std::string& request, const std::string& key);

  /// @return a line "COUNT REQUEST" for each request.
  std::string ByRequest();
  /// @return a line "COUNT KEY" for each idempotency key.
  std::string ByKey();

 private:
  std::mutex mutex_;
  uint64_t total_ = 0;
  std::map<std::string, int> by_request_;
  std::map<std::string, int> by_key_;
};

/// A predictable body of any length, readable at any offset.
class StandinBody {
 public:
  /// @param first_line begins the body; records of 16 bytes follow it.
  /// @param bytes length of the body; a smaller one than that of the first line
  /// is raised to it.
  StandinBody(std::string first_line, uint64_t bytes);

  uint64_t Size() const { return size_; }
  size_t Read(uint64_t offset, char* out, size_t max_bytes) const;

 private:
  std::string first_line_;
  uint64_t size_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_TOOLS_STANDIN_BEHAVIOR_H_
