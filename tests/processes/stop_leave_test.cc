#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Others must learn within this time that a daemon has left.
constexpr seconds kLeaveKnownWithin{1};

constexpr int kPlainDaemons = 9;

std::string PlainDaemon(int number) { return "p" + std::to_string(number); }

/// @return a replica in each of three failure domains and, in the first one,
/// daemons without a replica.
std::vector<InstanceSpec> OneLargeDomain() {
  std::vector<InstanceSpec> instances = {{"ra", "a", "", 6, true, {}},
                                         {"rb", "b", "", 6, true, {}},
                                         {"rc", "c", "", 6, true, {}}};
  for (int i = 1; i <= kPlainDaemons; ++i) {
    instances.push_back({PlainDaemon(i), "a", "", 6, false, {}});
  }
  return instances;
}

class ADomainWhoseDaemonsStop : public testing::Test {
 protected:
  ADomainWhoseDaemonsStop() : mesh_(52, OneLargeDomain()) { mesh_.Start(); }

  void SetUp() override {
    for (const std::string& viewer : Running()) {
      ASSERT_TRUE(Mesh::Eventually(
          [&] {
            for (const std::string& other : Running()) {
              if (StateAt(viewer, other) != "alive") return false;
            }
            return true;
          },
          seconds(20)))
          << viewer;
    }
  }

  /// Stops a daemon as an operator does and waits until its process has ended.
  void Stop(const std::string& name) {
    mesh_.Daemon(name).Signal(SIGTERM);
    EXPECT_EQ(mesh_.Daemon(name).Wait(20000), 0);
    stopped_.push_back(name);
  }

  /// @return whether the others list a daemon as left while its process runs.
  bool KnownToLeaveWhileItRuns(const std::string& name) {
    mesh_.Daemon(name).Signal(SIGTERM);
    bool running = true;
    for (const std::string& viewer : Running()) {
      if (viewer == name) continue;
      EXPECT_TRUE(Mesh::Eventually(
          [&] { return StateAt(viewer, name) == "left"; }, seconds(20)));
      running = running && mesh_.Daemon(name).Running();
    }
    return running;
  }

  /// @return the daemons that have not been stopped.
  std::vector<std::string> Running() const {
    std::vector<std::string> running;
    for (const InstanceSpec& spec : OneLargeDomain()) {
      if (std::find(stopped_.begin(), stopped_.end(), spec.instance) ==
          stopped_.end()) {
        running.push_back(spec.instance);
      }
    }
    return running;
  }

  /// @return the state of a daemon in the records of another one; empty when
  /// they have no record of it.
  std::string StateAt(const std::string& viewer,
                      const std::string& name) const {
    const HttpAnswer answer =
        SendHttp("GET", mesh_.OperatorUrl(viewer) + "/v1/instances");
    if (answer.status != 200) return "";
    for (const json& row : json::parse(answer.body)) {
      if (row["instance"] == name) return row["state"];
    }
    return "";
  }

  /// Expects that all running daemons list those stopped as left.
  void ExpectKnownToHaveLeft() {
    const auto deadline = std::chrono::steady_clock::now() + kLeaveKnownWithin;
    for (const std::string& name : stopped_) {
      for (const std::string& viewer : Running()) {
        const auto left = deadline - std::chrono::steady_clock::now();
        EXPECT_TRUE(
            Mesh::Eventually([&] { return StateAt(viewer, name) == "left"; },
                             std::chrono::duration_cast<milliseconds>(left)))
            << viewer << " lists " << name << " as " << StateAt(viewer, name);
      }
    }
  }

  Mesh mesh_;
  std::vector<std::string> stopped_;
};

TEST_F(ADomainWhoseDaemonsStop, KnowsThatOneHasLeft) {
  Stop(PlainDaemon(1));
  ExpectKnownToHaveLeft();
}

TEST_F(ADomainWhoseDaemonsStop, KnowsOfALeaveBeforeTheProcessEnds) {
  EXPECT_TRUE(KnownToLeaveWhileItRuns(PlainDaemon(1)));
}

TEST_F(ADomainWhoseDaemonsStop, KnowsWhoHasLeftWhileOthersStop) {
  for (int i = 1; i <= kPlainDaemons - 2; ++i) {
    Stop(PlainDaemon(i));
    ExpectKnownToHaveLeft();
  }
}

}  // namespace
}  // namespace hibiscusglade
