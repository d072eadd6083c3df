#include <gtest/gtest.h>

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

class AServiceOfFour : public testing::Test {
 protected:
  AServiceOfFour()
      : mesh_(61, {{"w", "a", "plots", 6, true, {"--service_ms=10"}},
                   {"x", "a", "plots", 6, true, {"--service_ms=10"}},
                   {"y", "a", "plots", 6, true, {"--service_ms=10"}},
                   {"z", "a", "plots", 6, false, {"--service_ms=10"}}}) {
    mesh_.Start();
  }

  void SetUp() override {
    for (const char* name : {"w", "x", "y", "z"}) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(name, 4, seconds(20)));
    }
    ASSERT_EQ(mesh_.Propose("w", "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
  }

  /// Sends 200 reads per second through daemon w.
  LoadResult SendReads(seconds length) {
    LoadSpec spec;
    spec.length = length;
    spec.rate = [](auto) { return 200.0; };
    spec.call = [this](uint64_t) {
      LoadCall call;
      call.url = mesh_.CallerUrl("w") + "/plots/7";
      call.expected_body = "plots answers GET /plots/7\n";
      return call;
    };
    return RunLoad(spec)[""];
  }

  int RunsAt(const std::string& instance) {
    return std::atoi(
        SendHttp("GET", mesh_.UpstreamUrl(instance) + "/standin/runs")
            .body.c_str());
  }

  void SetSlowdown(const std::string& instance, int factor) {
    SendHttp("GET", mesh_.UpstreamUrl(instance) +
                        "/standin/set?slowdown=" + std::to_string(factor));
  }

  Mesh mesh_;
};

TEST_F(AServiceOfFour, LeavesOutAnUpstreamThatIsSlowWhileItsReportIsGood) {
  EXPECT_EQ(SendReads(seconds(2)).refusals.size(), 0u);
  EXPECT_EQ(mesh_.Metric("w", "upstream_ejections_total"), 0);

  SetSlowdown("x", 5);
  SendReads(seconds(2));
  EXPECT_GE(mesh_.Metric("w", "upstream_ejections_total"), 1);
  EXPECT_NE(SendHttp("GET", mesh_.UpstreamUrl("x") + "/standin/load")
                .body.find("good"),
            std::string::npos);
  int before = RunsAt("x");
  LoadResult slowed = SendReads(seconds(2));
  EXPECT_EQ(slowed.good, slowed.sent);
  EXPECT_LE(RunsAt("x") - before, 30);  // Of 400 calls, only probes.
  EXPECT_GE(mesh_.Metric("w", "choices_total{reason=\"probe\"}"), 1);

  SetSlowdown("x", 1);
  SendReads(seconds(6));
  EXPECT_GE(mesh_.Metric("w", "upstream_returns_total"), 1);
  before = RunsAt("x");
  SendReads(seconds(4));
  EXPECT_GE(RunsAt("x") - before, 80);  // Of 800 calls; an even share is 200.
}

}  // namespace
}  // namespace hibiscusglade
