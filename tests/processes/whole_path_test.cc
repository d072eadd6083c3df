#include <gtest/gtest.h>

#include <csignal>

#include "tests/harness/load.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"max_queue": 64}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}},
  {"op": "add", "path": "/routes/tags", "value": {"path_prefix": "/tags/",
    "service": "plots", "class": "short", "repeatable": false}}])";

class AMeshOfThree : public testing::Test {
 protected:
  AMeshOfThree()
      : mesh_(1, {{"x", "a", "plots", 6, true, {}},
                  {"y", "b", "plots", 6, true, {}},
                  {"z", "c", "plots", 6, true, {}}}) {
    mesh_.Start();
  }

  void PutFirstVersionInForce() {
    ASSERT_TRUE(mesh_.WaitForUpstreams("x", 3, seconds(20)));
    ASSERT_EQ(mesh_.Propose("x", "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
  }

  Mesh mesh_;
};

TEST_F(AMeshOfThree, ServesReadsThroughEveryDaemon) {
  PutFirstVersionInForce();
  for (const char* instance : {"x", "y", "z"}) {
    HttpAnswer answer = SendHttp("GET", mesh_.CallerUrl(instance) + "/plots/7");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "plots answers GET /plots/7\n");
  }
}

TEST_F(AMeshOfThree, RunsARegistrationOnceHoweverOftenItIsSent) {
  PutFirstVersionInForce();
  for (const char* instance : {"x", "y", "z"}) {
    HttpAnswer answer = SendHttp("POST", mesh_.CallerUrl(instance) + "/tags/7",
                                 "girth", {"Idempotency-Key: k7"});
    EXPECT_EQ(answer.status, 200);
  }
  int runs = 0;
  for (const char* instance : {"x", "y", "z"}) {
    const std::string text =
        SendHttp("GET", mesh_.UpstreamUrl(instance) + "/standin/runs").body;
    if (text.find("1 POST /tags/7 girth") != std::string::npos) ++runs;
    EXPECT_EQ(text.find("2 POST"), std::string::npos);
  }
  EXPECT_EQ(runs, 1);
}

TEST_F(AMeshOfThree, StopsCleanlyOnTerm) {
  PutFirstVersionInForce();
  for (const char* instance : {"x", "y", "z"}) {
    mesh_.Daemon(instance).Signal(SIGTERM);
    EXPECT_EQ(mesh_.Daemon(instance).Wait(20000), 0);
  }
}

}  // namespace
}  // namespace hibiscusglade
