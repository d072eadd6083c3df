#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "base/key_digest.h"
#include "tests/harness/load.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/orders", "value": {"max_queue": 64}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/orders", "value": {"path_prefix": "/orders/",
    "service": "orders", "class": "short", "repeatable": true}},
  {"op": "add", "path": "/customers", "value": {
    "north": {"rate_per_s": 60, "burst": 60}, "south": {}}}])";

constexpr char kDomains[] = R"({"failure_domains": ["a", "b"]})";
/// Of north, in any window of 5 s.
constexpr uint64_t kMostInWindow = (60 * 5 + 60) * 11 / 10 + 20;

/// Three daemons share the half of each limit that failure domain a holds, and
/// one has that of b.
class ALimitedMesh : public testing::Test {
 protected:
  ALimitedMesh()
      : mesh_(144, {{"x", "a", "orders", 6, true, {}, kDomains},
                    {"y", "a", "orders", 6, false, {}, kDomains},
                    {"w", "a", "orders", 6, false, {}, kDomains},
                    {"z", "b", "orders", 6, false, {}, kDomains}}) {
    mesh_.Start();
  }

  void PutLimitsInForce() {
    for (const char* instance : {"x", "y", "w", "z"}) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(instance, 4, seconds(20)));
    }
    ASSERT_EQ(mesh_.Propose("x", "first", 0, kFirstPatch).status, 200);
    json patch = json::array();
    for (const char* customer : {"north", "south"}) {
      patch.push_back(
          {{"op", "add"},
           {"path", std::string("/customers/") + customer + "/keys"},
           {"value", {KeyDigest::Of(customer).Hex()}}});
    }
    ASSERT_EQ(mesh_.Propose("x", "second", 1, patch.dump()).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(2, seconds(12)));
    for (const char* instance : {"x", "y", "w", "z"}) {
      ASSERT_TRUE(Mesh::Eventually(
          [&] { return LimitAt(instance).contains("contact_ms_ago"); },
          seconds(10)));
    }
  }

  json LimitAt(const std::string& instance) const {
    const HttpAnswer answer =
        SendHttp("GET", mesh_.OperatorUrl(instance) + "/v1/limits/north");
    return json::parse(answer.body, nullptr, false);
  }

  /// Sends requests of a customer through daemons in turn.
  LoadResult Send(const std::string& customer, double rate, seconds length,
                  const std::vector<std::string>& through) const {
    LoadSpec spec;
    spec.length = length;
    spec.rate = [rate](milliseconds) { return rate; };
    spec.call = [&](uint64_t number) {
      LoadCall call;
      call.url = mesh_.CallerUrl(through[number % through.size()]) +
                 "/orders/" + std::to_string(number);
      call.fields = {"Authorization: Bearer " + customer};
      return call;
    };
    return RunLoad(spec)[""];
  }

  /// @return what became of requests that were not answered well.
  std::string Told(const LoadResult& result) const {
    std::string text = "broken " + std::to_string(result.broken);
    for (const auto& [code, count] : result.refusals) {
      text += ", " + std::to_string(code) + ": " + std::to_string(count);
    }
    for (const char* instance : {"x", "y", "w", "z"}) {
      for (const char* reason : {"over", "unacked", "alone_over"}) {
        const std::string sample =
            std::string("limit_refusals_total{reason=\"") + reason + "\"}";
        text += std::string(", ") + instance + " " + reason + " " +
                std::to_string(mesh_.Metric(instance, sample));
      }
    }
    return text;
  }

  Mesh mesh_;
};

TEST_F(ALimitedMesh, HoldsASurgeOfOneCustomerAndLeavesTheOthersAlone) {
  PutLimitsInForce();
  const std::vector<std::string> all = {"x", "z", "y", "z", "w", "z"};
  const LoadResult below = Send("north", 40, seconds(4), all);
  EXPECT_EQ(below.good, below.sent) << Told(below);
  const LoadResult surge = Send("north", 300, seconds(5), all);
  EXPECT_LE(surge.good, kMostInWindow);
  EXPECT_GE(surge.good, 300U);
  EXPECT_EQ(surge.refusals.size(), 1U);
  EXPECT_EQ(surge.good + surge.refusals.at(4015), surge.sent);
  const LoadResult south = Send("south", 100, seconds(2), all);
  EXPECT_EQ(south.good, south.sent) << Told(south);
  RecordProperty("good", static_cast<int>(surge.good));
}

TEST_F(ALimitedMesh, TellsWhenToReturnAndWhoCoordinates) {
  PutLimitsInForce();
  Send("north", 300, seconds(2), {"z"});
  HttpAnswer answer;
  for (int i = 0; i < 200 && answer.status != 429; ++i) {
    answer = SendHttp("GET", mesh_.CallerUrl("z") + "/orders/1", "",
                      {"Authorization: Bearer north"});
  }
  EXPECT_EQ(answer.status, 429);
  EXPECT_EQ(answer.Code(), 4015);
  EXPECT_EQ(answer.Outcome(), "not-run");
  EXPECT_TRUE(answer.fields.contains("retry-after"));
  const json limit = LimitAt("z");
  EXPECT_EQ(limit["coordinator"], "z");
  EXPECT_EQ(limit["regime"], "credit");
  EXPECT_EQ(limit["daemons_heard"], 1);
  EXPECT_EQ(limit["domain_rate_per_s"], 30.0);
}

TEST_F(ALimitedMesh, HoldsTheLimitWhenItsCoordinatorIsKilledInASurge) {
  PutLimitsInForce();
  const std::string coordinator = LimitAt("x")["coordinator"];
  std::vector<std::string> others = {"x", "y", "w"};
  std::erase(others, coordinator);
  const LoadResult before = Send("north", 200, seconds(2), others);
  mesh_.KillDaemon(coordinator);
  const LoadResult after = Send("north", 200, seconds(3), others);
  EXPECT_LE(before.good + after.good, kMostInWindow / 2 + 1);
  EXPECT_GE(after.good, 20U);
  EXPECT_TRUE(Mesh::Eventually(
      [&] {
        const json limit = LimitAt(others[0]);
        return limit["coordinator"] != coordinator &&
               limit.contains("contact_ms_ago");
      },
      seconds(10)));
}

}  // namespace
}  // namespace hibiscusglade
