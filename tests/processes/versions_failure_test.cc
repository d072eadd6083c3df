#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAcceptedStatus = 200;
constexpr uint64_t kRounds = 10;
const std::vector<std::string> kInstances = {"x", "y", "z"};

std::string PatchAddingService(const std::string& service) {
  return R"([{"op":"add","path":"/services/)" + service + R"(","value":{}}])";
}

/// Three control replicas in three failure domains, without upstreams.
class ThreeReplicas : public testing::Test {
 protected:
  explicit ThreeReplicas(int network)
      : mesh_(network, {{"x", "a", "", 6, true, {}},
                        {"y", "b", "", 6, true, {}},
                        {"z", "c", "", 6, true, {}}}) {
    mesh_.Start();
    EXPECT_TRUE(Mesh::Eventually(
        [this] {
          return !Leader().empty() && ProposalIsAccepted("x", "first", 0);
        },
        seconds(20)));
  }

  bool ProposalIsAccepted(const std::string& instance, const std::string& id,
                          uint64_t base) {
    return mesh_.Propose(instance, id, base, PatchAddingService(id)).status ==
           kAcceptedStatus;
  }

  std::string Role(const std::string& instance) {
    const HttpAnswer answer = SendHttp(
        "GET", mesh_.OperatorUrl(instance) + "/v1/status", "", {}, 2000);
    if (answer.status != 200) return "";
    return json::parse(answer.body).value("replica_role", "");
  }

  std::string Leader() {
    for (const std::string& instance : kInstances) {
      if (Role(instance) == "leader") return instance;
    }
    return "";
  }

  std::string OtherThan(const std::string& instance) {
    return instance == "x" ? "y" : "x";
  }

  json LatestVersion(const std::string& instance) {
    const HttpAnswer answer =
        SendHttp("GET", mesh_.OperatorUrl(instance) + "/v1/versions/latest");
    return answer.status == 200 ? json::parse(answer.body) : json::object();
  }

  uint64_t LatestNumber(const std::string& instance) {
    return LatestVersion(instance).value("number", uint64_t{0});
  }

  Mesh mesh_;
};

class ReplicasKilledTogether : public ThreeReplicas {
 protected:
  ReplicasKilledTogether() : ThreeReplicas(10) {}
};

TEST_F(ReplicasKilledTogether, HoldWhatWasAcceptedAndGiveTheFirstVerdicts) {
  std::map<std::string, uint64_t> accepted;
  std::thread killer([this] {
    std::this_thread::sleep_for(milliseconds(700));
    for (const std::string& instance : kInstances) mesh_.KillDaemon(instance);
  });
  std::string last;
  for (uint64_t base = 1; base < 100'000; ++base) {
    last = "p" + std::to_string(base);
    const HttpAnswer answer =
        mesh_.Propose("y", last, base, PatchAddingService(last));
    if (answer.status != kAcceptedStatus) break;
    accepted[last] = base + 1;
  }
  killer.join();
  ASSERT_FALSE(accepted.empty());
  for (const std::string& instance : kInstances) mesh_.StartDaemon(instance);
  // The last proposal got no answer, so its outcome is unknown. It is resent
  // and must be applied exactly once.
  const uint64_t last_base = accepted.size() + 1;
  ASSERT_TRUE(Mesh::Eventually(
      [&] { return ProposalIsAccepted("z", last, last_base); }, seconds(30)));
  EXPECT_EQ(LatestNumber("x"), last_base + 1);
  const json services = LatestVersion("x")["document"]["services"];
  for (const auto& [id, number] : accepted) {
    EXPECT_TRUE(services.contains(id)) << id;
    const HttpAnswer again =
        mesh_.Propose("x", id, number - 1, PatchAddingService(id));
    EXPECT_EQ(again.status, kAcceptedStatus) << again.body;
    EXPECT_EQ(json::parse(again.body)["number"], number);
  }
  EXPECT_EQ(LatestNumber("y"), last_base + 1);
}

class AStoppedLeader : public ThreeReplicas {
 protected:
  AStoppedLeader() : ThreeReplicas(11) {}
};

TEST_F(AStoppedLeader, NeitherAcceptsNorAnswersAsCurrentOnItsReturn) {
  const std::string old_leader = Leader();
  const std::string other = OtherThan(old_leader);
  mesh_.Daemon(old_leader).Signal(SIGSTOP);
  ASSERT_TRUE(Mesh::Eventually(
      [&] { return ProposalIsAccepted(other, "meanwhile", 1); }, seconds(20)));
  // Sent while the old leader is stopped, so that it handles both before it
  // receives messages from the new leader.
  auto stale_patch = std::async(std::launch::async, [&] {
    return mesh_.Propose(old_leader, "stale", 1, PatchAddingService("stale"));
  });
  auto stale_read =
      std::async(std::launch::async, [&] { return LatestNumber(old_leader); });
  std::this_thread::sleep_for(seconds(3));
  mesh_.Daemon(old_leader).Signal(SIGCONT);
  EXPECT_NE(stale_patch.get().status, kAcceptedStatus);
  const uint64_t read = stale_read.get();
  EXPECT_TRUE(read == 0 || read == 2) << "answered version " << read;
  EXPECT_TRUE(Mesh::Eventually([&] { return LatestNumber(old_leader) == 2; },
                               seconds(20)));
}

class AWipedReplica : public ThreeReplicas {
 protected:
  AWipedReplica() : ThreeReplicas(12) {}
};

TEST_F(AWipedReplica, JoinsAnewAndASecondLossLosesNothing) {
  const std::string wiped = OtherThan(Leader());
  mesh_.KillDaemon(wiped);
  mesh_.WipeData(wiped);
  mesh_.StartDaemon(wiped);
  ASSERT_TRUE(
      Mesh::Eventually([&] { return Role(wiped) == "follower"; }, seconds(30)));
  ASSERT_TRUE(Mesh::Eventually(
      [&] { return ProposalIsAccepted(wiped, "second", 1); }, seconds(20)));
  const std::string leader = Leader();
  mesh_.KillDaemon(leader);
  mesh_.WipeData(leader);
  EXPECT_TRUE(Mesh::Eventually(
      [&] { return ProposalIsAccepted(wiped, "third", 2); }, seconds(30)));
  const json services = LatestVersion(wiped)["document"]["services"];
  for (const char* id : {"first", "second", "third"}) {
    EXPECT_TRUE(services.contains(id)) << id;
  }
}

class RacingOperators : public ThreeReplicas {
 protected:
  RacingOperators() : ThreeReplicas(13) {}
};

TEST_F(RacingOperators, GetOnePatchAcceptedPerVersion) {
  for (uint64_t base = 1; base <= kRounds; ++base) {
    std::vector<std::future<HttpAnswer>> answers;
    for (const std::string& instance : kInstances) {
      answers.push_back(std::async(std::launch::async, [&, instance] {
        const std::string id = instance + std::to_string(base);
        return mesh_.Propose(instance, id, base, PatchAddingService(id));
      }));
    }
    int accepted = 0;
    for (auto& pending : answers) {
      const HttpAnswer answer = pending.get();
      if (answer.status == kAcceptedStatus) {
        ++accepted;
      } else {
        EXPECT_EQ(answer.status, 409) << answer.body;
        EXPECT_EQ(json::parse(answer.body)["latest"], base + 1);
      }
    }
    EXPECT_EQ(accepted, 1) << "against version " << base;
  }
  EXPECT_EQ(LatestNumber("z"), kRounds + 1);
}

}  // namespace
}  // namespace hibiscusglade
