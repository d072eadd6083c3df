#include <gtest/gtest.h>

#include <sstream>
#include <thread>

#include "tests/harness/load.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"ramp_ms": 0}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}}])";
constexpr char kOrder[] =
    R"({"service": "plots", "target_version": "v2", "duration_s": 12})";

/// Three upstreams of v1 beside replicas, and three of v2.
class AServiceThatMovesToAVersion : public testing::Test {
 protected:
  static std::vector<std::string> Version(const std::string& name) {
    return {"--service_ms=20", "--software_version=" + name};
  }

  AServiceThatMovesToAVersion()
      : mesh_(71, {{"x1", "a", "plots", 6, true, Version("v1")},
                   {"y1", "b", "plots", 6, true, Version("v1")},
                   {"z1", "c", "plots", 6, true, Version("v1")},
                   {"x2", "a", "plots", 6, false, Version("v2")},
                   {"y2", "b", "plots", 6, false, Version("v2")},
                   {"z2", "c", "plots", 6, false, Version("v2")}}) {
    mesh_.Start();
  }

  void SetUp() override {
    for (const char* name : {"x1", "y1", "z1", "x2", "y2", "z2"}) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(name, 6, seconds(20)));
    }
    ASSERT_EQ(mesh_.Propose("x1", "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
    ASSERT_EQ(Order().status, 200);
    EXPECT_EQ(Order().status, 200);
  }

  HttpAnswer Order() {
    return SendHttp("POST", mesh_.OperatorUrl("y2") + "/v1/rollouts", kOrder);
  }

  /// @return state and reason of the rollout.
  std::string Status() {
    return SendHttp("GET", mesh_.OperatorUrl("z2") + "/v1/rollouts/plots").body;
  }
  bool EventuallyIs(const std::string& state, seconds timeout) {
    return Mesh::Eventually(
        [&] {
          return Status().find("\"state\":\"" + state + "\"") !=
                 std::string::npos;
        },
        timeout);
  }

  LoadResult Load(seconds length) {
    LoadSpec spec;
    spec.length = length;
    spec.rate = [](auto) { return 120.0; };
    spec.call = [this](uint64_t n) {
      LoadCall call;
      call.url = mesh_.CallerUrl(n % 2 == 0 ? "x2" : "y2") + "/plots/" +
                 std::to_string(n % 7);
      return call;
    };
    return RunLoad(spec)[""];
  }

  /// @return requests that the upstreams of a version have run.
  int RunsOf(const std::string& version) {
    int runs = 0;
    for (const char* domain : {"x", "y", "z"}) {
      std::istringstream lines(
          SendHttp("GET", mesh_.UpstreamUrl(domain + version) + "/standin/runs")
              .body);
      for (std::string line; std::getline(lines, line);) {
        runs += std::stoi(line);
      }
    }
    return runs;
  }

  Mesh mesh_;
};

TEST_F(AServiceThatMovesToAVersion, CompletesAndRunsNothingAtTheOthers) {
  LoadResult result;
  std::thread load([&] { result = Load(seconds(14)); });
  const bool completed = EventuallyIs("completed", seconds(12));
  const int old_runs = RunsOf("1");
  load.join();
  EXPECT_TRUE(completed) << Status();
  EXPECT_EQ(RunsOf("1"), old_runs);
  EXPECT_GT(old_runs, 100);
  EXPECT_GT(RunsOf("2"), 300);
  EXPECT_EQ(result.good, result.sent);
}

TEST_F(AServiceThatMovesToAVersion, CompletesThoughItsLeaderIsKilled) {
  LoadResult result;
  std::thread load([&] { result = Load(seconds(13)); });
  std::this_thread::sleep_for(seconds(6));
  std::string leader;
  for (const char* name : {"x1", "y1", "z1"}) {
    const std::string status =
        SendHttp("GET", mesh_.OperatorUrl(name) + "/v1/status").body;
    if (status.find("\"replica_role\":\"leader\"") != std::string::npos) {
      leader = name;
    }
  }
  EXPECT_FALSE(leader.empty());
  if (!leader.empty()) mesh_.KillDaemon(leader);
  std::this_thread::sleep_for(milliseconds(500));
  if (!leader.empty()) mesh_.StartDaemon(leader);
  const bool completed = EventuallyIs("completed", seconds(8));
  const int old_runs = RunsOf("1");
  load.join();
  EXPECT_TRUE(completed) << Status();
  EXPECT_EQ(RunsOf("1"), old_runs);
}

TEST_F(AServiceThatMovesToAVersion, IsTakenBackWhenItIsSlowAndStaysSo) {
  for (const char* name : {"x2", "y2", "z2"}) {
    SendHttp("GET", mesh_.UpstreamUrl(name) + "/standin/set?slowdown=10");
  }
  LoadResult result;
  std::thread load([&] { result = Load(seconds(11)); });
  const bool rolled_back = EventuallyIs("rolled_back", seconds(12));
  load.join();
  EXPECT_TRUE(rolled_back) << Status();
  EXPECT_LE(RunsOf("2"), static_cast<int>(result.sent) / 20 + 50);
  EXPECT_EQ(result.good, result.sent);
  for (const char* name : {"x1", "y1", "z1", "x2", "y2", "z2"}) {
    mesh_.KillDaemon(name);
  }
  for (const char* name : {"x1", "y1", "z1", "x2", "y2", "z2"}) {
    mesh_.StartDaemon(name);
  }
  EXPECT_TRUE(EventuallyIs("rolled_back", seconds(20)));
}

}  // namespace
}  // namespace hibiscusglade
