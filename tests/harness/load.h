#ifndef HIBISCUSGLADE_TESTS_HARNESS_LOAD_H_
#define HIBISCUSGLADE_TESTS_HARNESS_LOAD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscusglade {

/// One request that a load sends.
struct LoadCall {
  std::string method = "GET";
  std::string url;
  std::string body;
  std::vector<std::string> fields;
  std::string expected_body;  ///< Compared byte for byte when not empty.
  std::string label;          ///< Results are grouped by label.
  int timeout_ms = 5000;
};

/// An open-loop load: each call starts at its scheduled time, whether or not
/// earlier calls have been answered.
struct LoadSpec {
  std::chrono::milliseconds length{1000};
  /// Calls per second, by the time since the start of the load.
  std::function<double(std::chrono::milliseconds)> rate;
  /// Creates the n-th call, counted from 0.
  std::function<LoadCall(uint64_t)> call;
  int threads = 4;
  int connections_per_thread = 200;
};

/// Results of the calls with one label.
struct LoadResult {
  uint64_t sent = 0;
  uint64_t good = 0;    ///< Status 200 with the expected body.
  uint64_t wrong = 0;   ///< Status 200 with another body.
  uint64_t broken = 0;  ///< The caller saw an incomplete answer or none.
  uint64_t late = 0;    ///< Those of `good` that exceeded the call's timeout.
  /// Answers with another status, by result code; 0 without a code.
  std::map<int, uint64_t> refusals;
  /// Of good answers, measured from the scheduled start of the call.
  std::vector<int64_t> latencies_us;

  /// @return a quantile of `latencies_us`; 0 when it is empty.
  int64_t Quantile(double quantile) const;
};

/// Runs a load.
/// @return results by label.
std::map<std::string, LoadResult> RunLoad(const LoadSpec& spec);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_LOAD_H_
