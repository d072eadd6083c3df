#include <gtest/gtest.h>

#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr char kFirstPatch[] =
    R"([{"op": "add", "path": "/services/plots", "value": {}}])";
constexpr char kNextPatch[] =
    R"([{"op": "add", "path": "/services/species", "value": {}}])";

/// Three replicas and three daemons that are not replicas (plain daemons).
class PlainDaemonsBesideReplicas : public testing::Test {
 protected:
  PlainDaemonsBesideReplicas()
      : mesh_(30, {{"r1", "a", "", 6, true, {}},
                   {"r2", "b", "", 6, true, {}},
                   {"r3", "c", "", 6, true, {}},
                   {"p1", "a", "", 6, false, {}},
                   {"p2", "b", "", 6, false, {}},
                   {"p3", "c", "", 6, false, {}}}) {
    mesh_.Start();
  }

  bool EventuallyAccepted(const std::string& id, uint64_t base,
                          const char* patch) {
    return Mesh::Eventually(
        [&] { return mesh_.Propose("r1", id, base, patch).status == 200; },
        seconds(20));
  }

  Mesh mesh_;
};

TEST_F(PlainDaemonsBesideReplicas, PutEachVersionInUse) {
  ASSERT_TRUE(EventuallyAccepted("first", 0, kFirstPatch));
  EXPECT_TRUE(mesh_.WaitForVersion(1, seconds(12)));
  ASSERT_TRUE(EventuallyAccepted("second", 1, kNextPatch));
  EXPECT_TRUE(mesh_.WaitForVersion(2, seconds(12)));
}

TEST_F(PlainDaemonsBesideReplicas, NeverUseAnOlderVersionAfterARestart) {
  ASSERT_TRUE(EventuallyAccepted("first", 0, kFirstPatch));
  ASSERT_TRUE(EventuallyAccepted("second", 1, kNextPatch));
  ASSERT_TRUE(mesh_.WaitForVersion(2, seconds(12)));
  for (const char* instance : {"p1", "p2", "p3"}) mesh_.KillDaemon(instance);
  for (const char* instance : {"p1", "p2", "p3"}) mesh_.StartDaemon(instance);
  EXPECT_TRUE(Mesh::Eventually(
      [&] {
        for (const char* instance : {"p1", "p2", "p3"}) {
          const uint64_t used = mesh_.VersionInUse(instance).value_or(0);
          EXPECT_NE(used, 1u);
          if (used != 2) return false;
        }
        return true;
      },
      seconds(12)));
}

}  // namespace
}  // namespace hibiscusglade
