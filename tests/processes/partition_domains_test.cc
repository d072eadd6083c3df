#include <gtest/gtest.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"max_queue": 64}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}}])";
constexpr char kNextPatch[] =
    R"([{"op": "add", "path": "/services/species", "value": {}}])";

/// @return in each domain a replica ("ra") and a plain daemon, which is not a
/// replica ("pa"), each beside an upstream.
std::vector<InstanceSpec> SixInstances() {
  std::vector<InstanceSpec> instances;
  for (const char* domain : {"a", "b", "c"}) {
    instances.push_back(
        {std::string("r") + domain, domain, "plots", 6, true, {}});
    instances.push_back(
        {std::string("p") + domain, domain, "plots", 6, false, {}});
  }
  return instances;
}

class ThreeDomains : public testing::TestWithParam<LinkMode> {
 protected:
  ThreeDomains() : mesh_(32, SixInstances()) { mesh_.Start(); }

  void PutFirstVersionInForce() {
    for (const char* instance : {"ra", "pa", "rb", "pb", "rc", "pc"}) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(instance, 6, seconds(20)));
    }
    ASSERT_EQ(mesh_.Propose("ra", "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, seconds(12)));
  }

  /// Applies `mode` to all links between a domain and the others.
  void CutOff(const std::string& domain, LinkMode mode) {
    mesh_.LinkRelay().SetPolicy(
        [this, domain, mode](const std::string& from, const std::string& to) {
          const bool from_inside = mesh_.DomainOfIp(from) == domain;
          Relay::Link link;
          if (from_inside != (mesh_.DomainOfIp(to) == domain)) link.mode = mode;
          return link;
        });
  }

  bool Serves(const std::string& instance) {
    return SendHttp("GET", mesh_.CallerUrl(instance) + "/plots/7").status ==
           200;
  }

  Mesh mesh_;
};

TEST_P(ThreeDomains, ServeWhileOneIsCutOffAndConvergeAfterwards) {
  PutFirstVersionInForce();
  CutOff("c", GetParam());
  // Until the cut is detected, a call may still be sent to an owner beyond it
  // and wait for the answer.
  for (const char* instance : {"pc", "rc", "pa", "pb"}) {
    EXPECT_TRUE(Mesh::Eventually([&] { return Serves(instance); }, seconds(20)))
        << instance;
  }
  EXPECT_NE(mesh_.Propose("pc", "cut", 1, kNextPatch).status, 200);
  EXPECT_TRUE(Mesh::Eventually(
      [&] { return mesh_.Propose("pa", "next", 1, kNextPatch).status == 200; },
      seconds(30)));
  EXPECT_TRUE(Mesh::Eventually(
      [&] { return mesh_.VersionInUse("pb").value_or(0) == 2; }, seconds(12)));
  EXPECT_EQ(mesh_.VersionInUse("pc"), 1u);
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(Serves("pc"));
    EXPECT_TRUE(Serves("pa"));
  }
  mesh_.LinkRelay().SetPolicy(
      [](const std::string&, const std::string&) { return Relay::Link{}; });
  EXPECT_TRUE(mesh_.WaitForVersion(2, seconds(20)));
  for (const char* instance : {"pa", "pc"}) {
    EXPECT_TRUE(mesh_.WaitForUpstreams(instance, 6, seconds(20)));
  }
}

INSTANTIATE_TEST_SUITE_P(Links, ThreeDomains,
                         testing::Values(LinkMode::kReset, LinkMode::kSilent));

class AStoppedDaemon : public ThreeDomains {};

TEST_F(AStoppedDaemon, ComesBackToTheLatestVersion) {
  PutFirstVersionInForce();
  mesh_.Daemon("pb").Signal(SIGSTOP);
  ASSERT_EQ(mesh_.Propose("ra", "next", 1, kNextPatch).status, 200);
  EXPECT_TRUE(Mesh::Eventually(
      [&] { return mesh_.VersionInUse("pa").value_or(0) == 2; }, seconds(12)));
  mesh_.Daemon("pb").Signal(SIGCONT);
  EXPECT_TRUE(mesh_.WaitForVersion(2, seconds(12)));
  EXPECT_TRUE(mesh_.WaitForUpstreams("rc", 6, seconds(20)));
}

class ADeadDaemon : public ThreeDomains {};

TEST_F(ADeadDaemon, IsNotListedAsAliveAnywhere) {
  PutFirstVersionInForce();
  mesh_.KillDaemon("pb");
  for (const char* instance : {"rb", "pa", "rc"}) {
    EXPECT_TRUE(Mesh::Eventually(
        [&] {
          const HttpAnswer answer =
              SendHttp("GET", mesh_.OperatorUrl(instance) + "/v1/instances");
          for (const auto& row : nlohmann::json::parse(answer.body)) {
            if (row["instance"] == "pb") return row["state"] != "alive";
          }
          return true;
        },
        seconds(12)))
        << instance;
  }
}

}  // namespace
}  // namespace hibiscusglade
