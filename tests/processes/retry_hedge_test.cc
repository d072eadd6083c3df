#include <gtest/gtest.h>

#include "tests/harness/load.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"ramp_ms": 0}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true,
    "hedge": true}}])";
constexpr int kPaths = 7;

class AMeshWithStragglers : public testing::Test {
 protected:
  static std::vector<std::string> StragglerFlags() {
    return {"--service_ms=5", "--straggler_every=40", "--straggler_factor=60"};
  }

  AMeshWithStragglers()
      : mesh_(63, {{"x", "a", "plots", 6, true, StragglerFlags()},
                   {"y", "a", "plots", 6, true, StragglerFlags()},
                   {"z", "a", "plots", 6, true, StragglerFlags()}}) {
    mesh_.Start();
  }

  void SetUp() override {
    for (const char* name : {"x", "y", "z"}) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(name, 3, seconds(20)));
    }
    ASSERT_EQ(mesh_.Propose("x", "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
    for (int i = 0; i < kPaths; ++i) {
      expected_.push_back(
          SendHttp("GET", mesh_.UpstreamUrl("x") + PathOf(i)).body);
      ASSERT_GT(expected_.back().size(), 150'000u);
    }
  }

  static std::string PathOf(uint64_t n) {
    return "/plots/" + std::to_string(n % kPaths) + "?bytes=200000";
  }

  Mesh mesh_;
  std::vector<std::string> expected_;
};

TEST_F(AMeshWithStragglers, GivesWholeAnswersWithHedgesInsideTheirBudget) {
  LoadSpec spec;
  spec.length = seconds(6);
  spec.rate = [](auto) { return 100.0; };
  spec.call = [this](uint64_t n) {
    LoadCall call;
    call.url = mesh_.CallerUrl("x") + PathOf(n);
    call.expected_body = expected_[n % kPaths];
    return call;
  };
  LoadResult result = RunLoad(spec)[""];
  EXPECT_EQ(result.good, result.sent);
  const double sent = mesh_.Metric("x", "hedges_total{reason=\"sent\"}");
  EXPECT_GE(mesh_.Metric("x", "hedges_total{reason=\"won\"}"), 1);
  EXPECT_GE(sent, 1);
  // The hedge budget: 5 percent of the calls, and up to three saved up.
  EXPECT_LE(sent, 0.05 * static_cast<double>(result.sent) + 4);
}

}  // namespace
}  // namespace hibiscusglade
