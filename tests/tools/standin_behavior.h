#ifndef HIBISCUSGLADE_TESTS_TOOLS_STANDIN_BEHAVIOR_H_
#define HIBISCUSGLADE_TESTS_TOOLS_STANDIN_BEHAVIOR_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace hibiscusglade {

/// What a stand-in upstream can be told at run time by /standin/set.
struct StandinSettings {
  int service_ms = 2;        ///< Time of an ordinary request.
  int slowdown = 1;          ///< Factor on all service times.
  int straggler_every = 0;   ///< Every n-th request is a straggler; 0: none.
  int straggler_factor = 1;  ///< How many times longer a straggler runs.
  int cold_ms = 0;           ///< Time after the start in which it is cold.
  int cold_factor = 1;       ///< Factor on service times while cold.

  /// Changes one setting.
  /// @return false when there is none with that name.
  bool Set(const std::string& name, int value);

  /// @param number of the request since the start, from 1.
  /// @param asked_ms service time that the request asks for.
  std::chrono::milliseconds ServiceTime(uint64_t number, int asked_ms,
                                        std::chrono::milliseconds up) const;
};

/// The slots: a request beyond them waits inside the stand-in.
class StandinSlots {
 public:
  explicit StandinSlots(int slots) : free_(slots) {}

  void Take();
  void Give();

  /// @return how many requests found no free slot.
  uint64_t Waited();
  int MostAtOnce();

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int free_;
  int taken_ = 0;
  int most_ = 0;
  uint64_t waited_ = 0;
};

/// Counts runs per request and per idempotency key.
class StandinRuns {
 public:
  /// @return the request's number, from 1.
  uint64_t Add(const std::string& request, const std::string& key);

  /// @return one line "count request" each.
  std::string ByRequest();
  /// @return one line "count key" each.
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
  /// @param bytes length of the body, at least that of the line.
  StandinBody(std::string first_line, uint64_t bytes);

  uint64_t Size() const { return size_; }
  size_t Read(uint64_t offset, char* out, size_t most) const;

 private:
  std::string first_line_;
  uint64_t size_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_TOOLS_STANDIN_BEHAVIOR_H_
