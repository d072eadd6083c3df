#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <thread>

#include "tests/harness/mesh.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AMeshWithSilentLinks : public ClaimsMesh {
 protected:
  AMeshWithSilentLinks()
      : ClaimsMesh(95, {{"x", "a", "orders", 6, true, {}},
                        {"y", "b", "", 6, true, {}},
                        {"z", "c", "orders", 6, true, {}}}) {}
};

TEST_F(AMeshWithSilentLinks, ServesAgainWithinSecondsOverNewConnections) {
  PutFirstVersionInForce(2);
  ASSERT_EQ(SendHttp("GET", mesh_.CallerUrl("y") + "/catalogue/1").status, 200);
  mesh_.LinkRelay().SilenceOpenConnections();
  EXPECT_TRUE(Mesh::Eventually(
      [this] {
        return SendHttp("GET", mesh_.CallerUrl("y") + "/catalogue/2").status ==
               200;
      },
      seconds(8)));
}

TEST_F(AMeshWithSilentLinks, ResolvesADepositAsUnknownWhenItsLinkGoesSilent) {
  PutFirstVersionInForce(2);
  ASSERT_EQ(SendHttp("GET", mesh_.CallerUrl("y") + "/catalogue/1").status, 200);
  std::thread silencer([this] {
    Mesh::Eventually([this] { return Runs("1") == 1; }, seconds(5));
    mesh_.LinkRelay().SilenceOpenConnections();
  });
  const auto start = std::chrono::steady_clock::now();
  HttpAnswer answer = Deposit("y", "1", "?ms=800");
  silencer.join();
  EXPECT_EQ(answer.Outcome(), "unknown") << answer.status << answer.body;
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(8));
  // The run continued, and its answer was stored for the resend.
  EXPECT_TRUE(Mesh::Eventually(
      [this] { return Deposit("y", "1", "?ms=800").status == 200; },
      seconds(10)));
  EXPECT_EQ(Runs("1"), 1);
}

TEST_F(AMeshWithSilentLinks, RoutesAroundAStoppedOwner) {
  PutFirstVersionInForce(2);
  mesh_.Daemon("x").Signal(SIGSTOP);
  EXPECT_TRUE(Mesh::Eventually(
      [this] {
        return SendHttp("GET", mesh_.CallerUrl("y") + "/catalogue/3").status ==
               200;
      },
      seconds(8)));
  mesh_.Daemon("x").Signal(SIGCONT);
}

}  // namespace
}  // namespace hibiscusglade
