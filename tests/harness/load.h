#ifndef HIBISCUSGLADE_TESTS_HARNESS_LOAD_H_
#define HIBISCUSGLADE_TESTS_HARNESS_LOAD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscusglade {

/// One request of a load.
struct LoadCall {
  std::string method = "GET";
  std::string url;
  std::string body;
  std::vector<std::string> fields;
  std::string expected_body;  ///< Compared byte for byte when not empty.
  std::string label;          ///< Results are kept apart by label.
  int timeout_ms = 5000;
};

/// An open-loop load: calls start at their times, however late answers come.
struct LoadSpec {
  std::chrono::milliseconds length{1000};
  /// Calls per second at a time since the start.
  std::function<double(std::chrono::milliseconds)> rate;
  /// Makes the n-th call.
  std::function<LoadCall(uint64_t)> call;
  int threads = 4;
  int connections_per_thread = 200;
};

/// Results of the calls with one label.
struct LoadResult {
  uint64_t sent = 0;
  uint64_t good = 0;    ///< Status 200 with the expected body.
  uint64_t wrong = 0;   ///< Status 200 with another body.
  uint64_t broken = 0;  ///< No whole answer, seen as such by the caller.
  uint64_t late = 0;    ///< Good, but after the call's timeout.
  std::map<int, uint64_t> refusals;   ///< By result code; 0 for none.
  std::vector<int64_t> latencies_us;  ///< Of good answers, from the due time.

  /// @return a quantile of the latencies in microseconds; 0 without any.
  int64_t Quantile(double quantile) const;
};

/// Runs a load.
/// @return results by label.
std::map<std::string, LoadResult> RunLoad(const LoadSpec& spec);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_LOAD_H_
