#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A change must be in force within this time at each daemon that reaches a
/// majority of the replicas.
constexpr milliseconds kInForce{2000};
constexpr int kPlainDaemons = 5;  ///< In each failure domain.

std::vector<InstanceSpec> Instances() {
  std::vector<InstanceSpec> instances;
  for (const char* domain : {"a", "b", "c"}) {
    instances.push_back({std::string("r") + domain, domain, "", 6, true, {}});
    for (int i = 0; i < kPlainDaemons; ++i) {
      instances.push_back(
          {domain + std::to_string(i), domain, "", 6, false, {}});
    }
  }
  return instances;
}

std::string PatchForVersion(uint64_t version) {
  return R"([{"op":"add","path":"/services/s)" + std::to_string(version) +
         R"(","value":{}}])";
}

/// A failure domain in which all daemons but one are paused, its replica
/// included. The paused ones neither answer nor close their connections.
class ADomainWithOneRunningDaemon : public testing::TestWithParam<std::string> {
 protected:
  ADomainWithOneRunningDaemon() : mesh_(36, Instances()) {
    mesh_.Start();
    EXPECT_EQ(Propose(1).status, 200);
    EXPECT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
    SignalTheOthers(SIGSTOP);
  }
  ~ADomainWithOneRunningDaemon() override { SignalTheOthers(SIGCONT); }

  HttpAnswer Propose(uint64_t version) {
    HttpAnswer answer;
    Mesh::Eventually(
        [&] {
          answer = mesh_.Propose("rb", "p" + std::to_string(version),
                                 version - 1, PatchForVersion(version));
          return answer.status == 200;
        },
        seconds(20));
    return answer;
  }

  void SignalTheOthers(int signal) {
    for (const InstanceSpec& spec : Instances()) {
      if (spec.failure_domain == "a" && spec.instance != GetParam()) {
        mesh_.Daemon(spec.instance).Signal(signal);
      }
    }
  }

  Mesh mesh_;
};

TEST_P(ADomainWithOneRunningDaemon, HasEachChangeInForceInTime) {
  // The first change comes at once, the last one after the view of the domain
  // has changed.
  for (uint64_t version = 2; version <= 5; ++version) {
    ASSERT_EQ(Propose(version).status, 200);
    EXPECT_TRUE(Mesh::Eventually(
        [&] { return mesh_.VersionInUse(GetParam()) >= version; }, kInForce))
        << "version " << version;
    std::this_thread::sleep_for(seconds(1));
  }
}

// Which of them are relays depends on their names.
INSTANTIATE_TEST_SUITE_P(EachDaemon, ADomainWithOneRunningDaemon,
                         testing::Values("a0", "a1", "a2", "a3", "a4"));

}  // namespace
}  // namespace hibiscusglade
