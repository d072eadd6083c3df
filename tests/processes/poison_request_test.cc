#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "tests/harness/mesh.h"
#include "tests/harness/slow_caller.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AMeshWithAPoisonRequest : public ClaimsMesh {
 protected:
  AMeshWithAPoisonRequest()
      : ClaimsMesh(93, {{"x", "a", "orders", 6, true, {}},
                        {"y", "b", "orders", 6, true, {}},
                        {"z", "c", "orders", 6, true, {}},
                        {"v", "a", "orders", 6, true, {}},
                        {"w", "b", "orders", 6, true, {}}}) {}

  int DeadUpstreams() {
    int dead = 0;
    for (const InstanceSpec& spec : instances_) {
      if (!mesh_.Upstream(spec.instance).Running()) ++dead;
    }
    return dead;
  }
};

TEST_F(AMeshWithAPoisonRequest, LosesAtMostThreeUpstreamsHoweverOftenItIsSent) {
  PutFirstVersionInForce(5);
  HttpAnswer answer;
  for (int i = 0; i < 20; ++i) {
    for (const char* entry : {"x", "y", "z"}) {
      answer = SendHttp("POST", mesh_.CallerUrl(entry) + "/catalogue/1",
                        "crash-marker", {}, 5000);
      EXPECT_NE(answer.status, 200);
    }
  }
  EXPECT_EQ(answer.Outcome(), "not-run");
  EXPECT_LE(DeadUpstreams(), 3);
  RecordProperty("dead", DeadUpstreams());
  std::printf("%d upstreams died\n", DeadUpstreams());
  EXPECT_TRUE(Mesh::Eventually(
      [this] {
        return SendHttp("GET", mesh_.CallerUrl("x") + "/catalogue/2").status ==
               200;
      },
      seconds(3)));
}

// Guards against deaths that are missed while other answers are being read.
TEST_F(AMeshWithAPoisonRequest, LosesAtMostThreeUpstreamsBesideDownloads) {
  constexpr int kCallers = 15;
  constexpr size_t kBytes = 6'000'000;  // More than sockets' buffers hold.
  PutFirstVersionInForce(5);
  std::atomic<bool> stopping{false};
  std::atomic<int> downloads{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const std::string entry(1, "xyz"[i % 3]);
      const std::string url = mesh_.CallerUrl(entry);
      for (int number = 0; !stopping; ++number) {
        SlowCaller caller(mesh_.IpOf(entry), url.substr(url.rfind(':') + 1),
                          "/archive/" + std::to_string(i) + "-" +
                              std::to_string(number) +
                              "?bytes=" + std::to_string(kBytes));
        size_t read = 0;
        while (read < kBytes) {
          const size_t bytes = caller.Read(20'000);
          read += bytes;
          if (bytes == 0) break;
          std::this_thread::sleep_for(milliseconds(5));
        }
        if (read >= kBytes) ++downloads;
      }
    });
  }
  // Until downloads are under way at all upstreams, and wait for their callers.
  std::this_thread::sleep_for(milliseconds(700));
  for (int i = 0; i < 6; ++i) {
    for (const char* entry : {"x", "y", "z"}) {
      const HttpAnswer answer =
          SendHttp("POST", mesh_.CallerUrl(entry) + "/catalogue/1",
                   "crash-marker", {}, 5000);
      EXPECT_NE(answer.status, 200);
    }
  }
  const int before = downloads;
  EXPECT_TRUE(Mesh::Eventually([&] { return downloads > before + kCallers; },
                               seconds(20)));
  stopping = true;
  for (std::thread& caller : callers) caller.join();
  EXPECT_LE(DeadUpstreams(), 3);
  std::printf("%d upstreams died beside downloads\n", DeadUpstreams());
}

}  // namespace
}  // namespace hibiscusglade
