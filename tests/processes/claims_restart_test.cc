#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "tests/harness/mesh.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AMeshWithOneOwner : public ClaimsMesh {
 protected:
  // Only x has an upstream, so x is the owner of every request.
  AMeshWithOneOwner()
      : ClaimsMesh(90, {{"x", "a", "orders", 6, true, {}},
                        {"y", "b", "", 6, true, {}},
                        {"z", "c", "", 6, true, {}}}) {}
};

TEST_F(AMeshWithOneOwner, SaysUnknownWhenItsOwnerDiesWhileTheRequestRuns) {
  PutFirstVersionInForce(1);
  std::thread killer([this] {
    ASSERT_TRUE(
        Mesh::Eventually([this] { return Runs("7") == 1; }, seconds(5)));
    mesh_.KillDaemon("x");
  });
  HttpAnswer first = Deposit("y", "7", "?ms=1500");
  killer.join();
  EXPECT_EQ(first.Outcome(), "unknown") << first.status << first.body;
  mesh_.StartDaemon("x");
  ASSERT_TRUE(mesh_.WaitForUpstreams("z", 1, seconds(20)));
  for (const std::string entry : {"y", "z", "x"}) {
    // The entries detect the loss of x immediately, so deposits may still be
    // refused here; wait until they are served before the resend.
    ASSERT_TRUE(Mesh::Eventually(
        [&] { return Deposit(entry, "other-" + entry).status == 200; },
        seconds(20)));
    HttpAnswer again = Deposit(entry, "7", "?ms=1500");
    EXPECT_NE(again.status, 200);
    EXPECT_EQ(again.Outcome(), again.Code() == 6003 ? "unknown" : "not-run");
  }
  EXPECT_EQ(Runs("7"), 1);
}

TEST_F(AMeshWithOneOwner, KeepsTheAnswerWhenItsOwnerDiesAfterTheRun) {
  PutFirstVersionInForce(1);
  HttpAnswer first = Deposit("y", "8");
  ASSERT_EQ(first.status, 200) << first.body;
  mesh_.KillDaemon("x");
  mesh_.StartDaemon("x");
  ASSERT_TRUE(mesh_.WaitForUpstreams("z", 1, seconds(20)));
  HttpAnswer again;
  Mesh::Eventually(
      [&] {
        again = Deposit("z", "8");
        return again.status == 200;
      },
      seconds(10));
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(Runs("8"), 1);
}

TEST_F(AMeshWithOneOwner, KeepsClaimsWhenAReplicaIsLost) {
  PutFirstVersionInForce(1);
  const HttpAnswer first = Deposit("y", "9");
  ASSERT_EQ(first.status, 200) << first.body;
  mesh_.KillDaemon("z");
  mesh_.WipeData("z");
  HttpAnswer again;
  Mesh::Eventually(
      [&] {
        again = Deposit("y", "9");
        return again.status == 200;
      },
      seconds(10));
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(Runs("9"), 1);
}

TEST_F(AMeshWithOneOwner, RefusesAsNotRunWhileCutOffAndServesReads) {
  PutFirstVersionInForce(1);
  mesh_.LinkRelay().SetPolicy(
      [this](const std::string& from, const std::string& to) {
        Relay::Link link;
        if (mesh_.DomainOfIp(from) != mesh_.DomainOfIp(to)) {
          link.mode = LinkMode::kSilent;
        }
        return link;
      });
  std::this_thread::sleep_for(seconds(2));
  HttpAnswer refused;
  // The outcome of the first claim after the cut may be unknown.
  const bool not_run = Mesh::Eventually(
      [&] {
        refused = Deposit("x", "10");
        return refused.Outcome() == "not-run";
      },
      seconds(15));
  EXPECT_TRUE(not_run) << refused.status << " " << refused.body;
  EXPECT_EQ(SendHttp("GET", mesh_.CallerUrl("x") + "/catalogue/1").status, 200);
  EXPECT_EQ(Runs("10"), 0);
  mesh_.LinkRelay().SetPolicy(
      [](const std::string&, const std::string&) { return Relay::Link{}; });
  HttpAnswer healed;
  EXPECT_TRUE(Mesh::Eventually(
      [&] {
        healed = Deposit("x", "10");
        return healed.status == 200;
      },
      seconds(20)))
      << healed.status << " " << healed.body;
  EXPECT_EQ(Runs("10"), 1);
}

class AMeshOfThreeOwners : public ClaimsMesh {
 protected:
  AMeshOfThreeOwners()
      : ClaimsMesh(91, {{"x", "a", "orders", 6, true, {}},
                        {"y", "b", "orders", 6, true, {}},
                        {"z", "c", "orders", 6, true, {}}}) {}
};

TEST_F(AMeshOfThreeOwners, RunsOnceWhatIsSentThroughAllDomainsAtOnce) {
  PutFirstVersionInForce(3);
  for (int round = 0; round < 10; ++round) {
    const std::string key = std::to_string(round);
    std::vector<std::thread> callers;
    for (const char* entry : {"x", "y", "z"}) {
      for (int i = 0; i < 2; ++i) {
        callers.emplace_back(
            [this, entry, key] { Deposit(entry, key, "?ms=20"); });
      }
    }
    for (std::thread& caller : callers) caller.join();
    EXPECT_EQ(Runs(key), 1);
    EXPECT_EQ(Deposit("x", key, "?ms=20").status, 200);
  }
}

}  // namespace
}  // namespace hibiscusglade
