#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>
#include <thread>

#include "tests/harness/load.h"
#include "tests/harness/mesh.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AMeshUnderLoad : public ClaimsMesh {
 protected:
  AMeshUnderLoad()
      : ClaimsMesh(94, {{"x", "a", "orders", 6, true, {}},
                        {"y", "b", "orders", 6, true, {}},
                        {"z", "c", "orders", 6, true, {}}}) {}

  /// Sends reads through the daemons `entries`, which must leave out a daemon
  /// that is being stopped.
  std::map<std::string, LoadResult> SendReads(
      const std::vector<std::string>& entries, seconds length) const {
    LoadSpec spec;
    spec.length = length;
    spec.rate = [](milliseconds) { return 200.0; };
    spec.call = [this, entries](uint64_t n) {
      LoadCall call;
      call.url = mesh_.CallerUrl(entries[n % entries.size()]) + "/catalogue/" +
                 std::to_string(n);
      call.expected_body =
          "orders answers GET /catalogue/" + std::to_string(n) + "\n";
      call.label = "calls";
      return call;
    };
    return RunLoad(spec);
  }

  static void ExpectAllGood(const LoadResult& result) {
    for (const auto& [code, count] : result.refusals) {
      std::printf("refused with %d: %llu\n", code,
                  static_cast<unsigned long long>(count));
    }
    EXPECT_GT(result.sent, 0U);
    EXPECT_EQ(result.good, result.sent);
    EXPECT_EQ(result.broken, 0U);
    EXPECT_EQ(result.wrong, 0U);
  }
};

TEST_F(AMeshUnderLoad, RestartsItsOwnersOneByOneWithoutAFailedCall) {
  PutFirstVersionInForce(3);
  for (const char* restarted : {"x", "y", "z"}) {
    std::vector<std::string> entries;
    for (const char* entry : {"x", "y", "z"}) {
      if (std::string(entry) != restarted) entries.emplace_back(entry);
    }
    std::map<std::string, LoadResult> results;
    std::thread load([&] { results = SendReads(entries, seconds(6)); });
    std::this_thread::sleep_for(seconds(1));
    mesh_.Daemon(restarted).Signal(SIGTERM);
    EXPECT_EQ(mesh_.Daemon(restarted).Wait(20000), 0);
    mesh_.StartDaemon(restarted);
    load.join();
    ExpectAllGood(results["calls"]);
    EXPECT_TRUE(mesh_.WaitForUpstreams(restarted, 3, seconds(20)));
    EXPECT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
  }
}

TEST_F(AMeshUnderLoad, RestartsItsUpstreamsOneByOneWithoutAFailedCall) {
  PutFirstVersionInForce(3);
  for (const char* restarted : {"x", "y", "z"}) {
    std::map<std::string, LoadResult> results;
    std::thread load([&] { results = SendReads({"x", "y", "z"}, seconds(5)); });
    std::this_thread::sleep_for(seconds(1));
    mesh_.Upstream(restarted).Signal(SIGTERM);
    mesh_.Upstream(restarted).Wait(20000);
    mesh_.StartUpstream(restarted);
    load.join();
    ExpectAllGood(results["calls"]);
    EXPECT_TRUE(mesh_.WaitForUpstreams("x", 3, seconds(20)));
  }
}

}  // namespace
}  // namespace hibiscusglade
