#include <gtest/gtest.h>

#include <sstream>

#include "tests/harness/load.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots",
   "value": {"ramp_ms": 0, "max_queue": 6}},
  {"op": "add", "path": "/classes/short",
   "value": {"max_wait_ms": 300, "reserved_percent": 50, "priority": 9}},
  {"op": "add", "path": "/classes/archive",
   "value": {"max_wait_ms": 1000, "max_percent": 50, "priority": 1}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}},
  {"op": "add", "path": "/routes/files", "value": {"path_prefix": "/files/",
    "service": "plots", "class": "archive", "repeatable": true}}])";

class ACrestOfThreeTimesTheCapacity : public testing::Test {
 protected:
  ACrestOfThreeTimesTheCapacity()
      : mesh_(62, {{"x", "a", "plots", 2, true, {"--service_ms=20"}},
                   {"y", "b", "plots", 2, true, {"--service_ms=20"}},
                   {"z", "c", "plots", 2, true, {"--service_ms=20"}}}) {
    mesh_.Start();
  }

  void SetUp() override {
    for (const char* name : kInstances) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(name, 3, seconds(20)));
    }
    ASSERT_EQ(mesh_.Propose("x", "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
  }

  /// Sends half the capacity of 300 calls per second for 500 ms, then three
  /// times the capacity. Each call has its own path, which is also its label.
  std::map<std::string, LoadResult> SendPeakLoad() {
    LoadSpec spec;
    spec.length = seconds(3);
    spec.rate = [](milliseconds at) {
      return at < milliseconds(500) ? 150.0 : 900.0;
    };
    spec.call = [this](uint64_t n) {
      LoadCall call;
      call.label = "/plots/" + std::to_string(n);
      call.url = mesh_.CallerUrl(kInstances[n % 3]) + call.label;
      call.expected_body = "plots answers GET " + call.label + "\n";
      return call;
    };
    return RunLoad(spec);
  }

  /// @return runs of each path at all upstreams.
  std::map<std::string, int> Runs() {
    std::map<std::string, int> runs;
    for (const char* name : kInstances) {
      std::istringstream lines(
          SendHttp("GET", mesh_.UpstreamUrl(name) + "/standin/runs").body);
      int count = 0;
      std::string method;
      std::string path;
      while (lines >> count >> method >> path) runs[path] += count;
    }
    return runs;
  }

  static constexpr const char* kInstances[] = {"x", "y", "z"};
  Mesh mesh_;
};

TEST_F(ACrestOfThreeTimesTheCapacity, RefusesOnlyWhatHasNotRun) {
  std::map<std::string, LoadResult> results = SendPeakLoad();
  const std::map<std::string, int> runs = Runs();
  std::map<int, uint64_t> refused;
  uint64_t good = 0;
  for (const auto& [path, result] : results) {
    good += result.good;
    EXPECT_EQ(result.wrong + result.broken, 0u) << path;
    for (const auto& [code, count] : result.refusals) {
      refused[code] += count;
      const bool not_run = code >= 5001 && code <= 5008;
      EXPECT_TRUE(not_run) << code;
      EXPECT_FALSE(not_run && runs.contains(path)) << path << " " << code;
    }
  }
  EXPECT_GE(good, 300u);
  EXPECT_FALSE(refused.empty());
  for (const auto& [code, count] : refused) {
    double counted = 0;
    for (const char* name : kInstances) {
      counted += mesh_.Metric(
          name, "caller_refusals_total{code=\"" + std::to_string(code) + "\"}");
    }
    EXPECT_EQ(counted, count) << code;
  }
  for (const char* name : kInstances) {
    // No upstream was sent more requests at a time than it has slots.
    EXPECT_EQ(SendHttp("GET", mesh_.UpstreamUrl(name) + "/standin/state")
                  .body.substr(0, 9),
              "waited 0\n");
  }
}

/// @return numbers of wrong and broken answers, and of refusals by code.
std::string DescribeFailures(const LoadResult& result) {
  std::string text = "wrong " + std::to_string(result.wrong) + ", broken " +
                     std::to_string(result.broken);
  for (const auto& [code, count] : result.refusals) {
    text += ", " + std::to_string(code) + ": " + std::to_string(count);
  }
  return text;
}

TEST_F(ACrestOfThreeTimesTheCapacity, KeepsShortWorkAheadOfArchives) {
  LoadSpec spec;
  spec.length = seconds(3);
  spec.rate = [](auto) { return 100.0; };
  spec.call = [this](uint64_t n) {
    LoadCall call;
    const bool archive = n % 5 == 0;
    call.label = archive ? "archive" : "short";
    call.url = mesh_.CallerUrl(kInstances[n % 3]) +
               (archive ? "/files/1?ms=500" : "/plots/1");
    return call;
  };
  std::map<std::string, LoadResult> results = RunLoad(spec);
  LoadResult& short_calls = results["short"];
  EXPECT_EQ(short_calls.good, short_calls.sent)
      << DescribeFailures(short_calls);
  EXPECT_LT(short_calls.Quantile(0.99), 400'000);
  EXPECT_FALSE(results["archive"].refusals.empty());
  EXPECT_GT(results["archive"].good, 0u);
}

}  // namespace
}  // namespace hibiscusglade
