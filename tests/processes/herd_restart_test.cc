#include <gtest/gtest.h>

#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr int kPlainDaemons = 12;
constexpr int kLatestVersion = 120;

std::vector<InstanceSpec> Instances() {
  std::vector<InstanceSpec> instances;
  for (const char* domain : {"a", "b", "c"}) {
    instances.push_back({std::string("r") + domain, domain, "", 6, true, {}});
    for (int i = 0; i < kPlainDaemons / 3; ++i) {
      instances.push_back(
          {domain + std::to_string(i), domain, "", 6, false, {}});
    }
  }
  return instances;
}

std::string PatchForVersion(int version) {
  return R"([{"op":"add","path":"/services/s)" + std::to_string(version) +
         R"(","value":{}}])";
}

/// Three replicas and twelve plain daemons, which are not replicas and are
/// killed and restarted together.
class ManyRestartedDaemons : public testing::Test {
 protected:
  ManyRestartedDaemons() : mesh_(33, Instances()) { mesh_.Start(); }

  void Propose(int first, int last) {
    for (int version = first; version <= last; ++version) {
      ASSERT_TRUE(Mesh::Eventually(
          [&] {
            return mesh_
                       .Propose("ra", "p" + std::to_string(version),
                                static_cast<uint64_t>(version - 1),
                                PatchForVersion(version))
                       .status == 200;
          },
          seconds(20)));
    }
  }

  template <typename Action>
  void ForEachPlainDaemon(Action action) {
    for (const InstanceSpec& spec : Instances()) {
      if (!spec.replica) action(spec.instance);
    }
  }

  Mesh mesh_;
};

TEST_F(ManyRestartedDaemons, CatchUpWithVersionsMadeWhileTheyWereDown) {
  Propose(1, 5);
  ASSERT_TRUE(mesh_.WaitForVersion(5, seconds(12)));
  ForEachPlainDaemon([&](const auto& plain) { mesh_.KillDaemon(plain); });
  Propose(6, kLatestVersion);
  ForEachPlainDaemon([&](const auto& plain) { mesh_.StartDaemon(plain); });
  EXPECT_TRUE(mesh_.WaitForVersion(kLatestVersion, seconds(20)));
}

TEST_F(ManyRestartedDaemons, NeverUseAnOlderVersionAfterRepeatedRestarts) {
  Propose(1, 3);
  ASSERT_TRUE(mesh_.WaitForVersion(3, seconds(12)));
  for (int round = 0; round < 3; ++round) {
    ForEachPlainDaemon([&](const auto& plain) { mesh_.KillDaemon(plain); });
    ForEachPlainDaemon([&](const auto& plain) { mesh_.StartDaemon(plain); });
    ForEachPlainDaemon([&](const auto& plain) {
      EXPECT_TRUE(Mesh::Eventually(
          [&] {
            const uint64_t used = mesh_.VersionInUse(plain).value_or(0);
            EXPECT_TRUE(used == 0 || used == 3) << used;
            return used == 3;
          },
          seconds(20)));
    });
  }
}

}  // namespace
}  // namespace hibiscusglade
