#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "tests/harness/mesh.h"
#include "tests/harness/process_cost.h"
#include "tests/harness/slow_caller.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kArchiveBytes = uint64_t{200} * 1000 * 1000;

class AMeshWithArchives : public ClaimsMesh {
 protected:
  AMeshWithArchives()
      : ClaimsMesh(92, {{"x", "a", "orders", 6, true, {}},
                        {"y", "b", "", 6, true, {}},
                        {"z", "c", "", 6, true, {}}}) {}

  std::string ArchiveTarget(uint64_t bytes) const {
    return "/archive/1?bytes=" + std::to_string(bytes);
  }

  SlowCaller StartDownload(const std::string& entry, uint64_t bytes) const {
    const std::string url = mesh_.CallerUrl(entry);
    return {mesh_.IpOf(entry), url.substr(url.rfind(':') + 1),
            ArchiveTarget(bytes)};
  }
};

TEST_F(AMeshWithArchives, HoldsLittleOfAnArchiveWhoseCallerReadsSlowly) {
  PutFirstVersionInForce(1);
  ASSERT_EQ(SendHttp("GET", mesh_.CallerUrl("y") + "/catalogue/1").status, 200);
  const double entry_kb = ProcessResidentKb(mesh_.Daemon("y").Pid());
  const double owner_kb = ProcessResidentKb(mesh_.Daemon("x").Pid());
  SlowCaller caller = StartDownload("y", kArchiveBytes);
  size_t read = caller.Read(1000);
  std::this_thread::sleep_for(seconds(3));
  const double entry_growth_kb =
      ProcessResidentKb(mesh_.Daemon("y").Pid()) - entry_kb;
  const double owner_growth_kb =
      ProcessResidentKb(mesh_.Daemon("x").Pid()) - owner_kb;
  RecordProperty("entry_grown_kb", std::to_string(entry_growth_kb));
  RecordProperty("owner_grown_kb", std::to_string(owner_growth_kb));
  std::printf("entry +%.0f KB, owner +%.0f KB\n", entry_growth_kb,
              owner_growth_kb);
  EXPECT_LT(entry_growth_kb, 8000);
  EXPECT_LT(owner_growth_kb, 8000);
  while (size_t count = caller.Read(1 << 20)) {
    read += count;
    if (read >= kArchiveBytes) break;
  }
  EXPECT_GE(read, kArchiveBytes);
}

TEST_F(AMeshWithArchives, BreaksOffTheTransferWhenTheUpstreamDiesHalfway) {
  PutFirstVersionInForce(1);
  SlowCaller caller = StartDownload("y", kArchiveBytes);
  size_t read = caller.Read(1000);
  ASSERT_GT(read, 0U);
  mesh_.KillUpstream("x");
  while (size_t count = caller.Read(1 << 20)) read += count;
  EXPECT_LT(read, kArchiveBytes);
}

TEST_F(AMeshWithArchives, CancelsAtTheUpstreamWhenTheCallerGoes) {
  PutFirstVersionInForce(1);
  {
    SlowCaller caller = StartDownload("y", kArchiveBytes);
    caller.Read(1000);
  }
  EXPECT_TRUE(Mesh::Eventually(
      [this] {
        return mesh_.Metric("y", "call_refusals_total{code=\"4008\"}") > 0;
      },
      seconds(20)));
}

TEST_F(AMeshWithArchives, EndsTheRunsOfAnEntryThatDies) {
  PutFirstVersionInForce(1);
  SlowCaller caller = StartDownload("y", kArchiveBytes);
  caller.Read(1000);
  mesh_.KillDaemon("y");
  // A stopping owner exits only after its last run has ended.
  mesh_.Daemon("x").Signal(SIGTERM);
  EXPECT_EQ(mesh_.Daemon("x").Wait(15000), 0);
}

}  // namespace
}  // namespace hibiscusglade
