#include <csignal>
#include <thread>

#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A mesh in which the daemon beside the only upstream stands still for a
/// while. It is no replica, so that claims are granted meanwhile.
class AMeshWithAPausedOwner : public ClaimsMesh {
 protected:
  AMeshWithAPausedOwner()
      : ClaimsMesh(97, {{"y", "b", "", 6, true, {}},
                        {"z", "c", "", 6, true, {}},
                        {"w", "c", "", 6, true, {}},
                        {"x", "a", "orders", 6, false, {}}}) {}
};

// Guards against requests that are run seconds after their callers were told
// that their time had passed.
TEST_F(AMeshWithAPausedOwner, RunsNothingWhoseTimeHasPassed) {
  PutFirstVersionInForce(1);
  ASSERT_EQ(Deposit("y", "first").status, 200);
  mesh_.Daemon("x").Signal(SIGSTOP);
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < 5; ++i) {
      callers.emplace_back([this, i] {
        const std::string key = "late" + std::to_string(i);
        const HttpAnswer answer =
            SendHttp("POST", mesh_.CallerUrl("y") + "/deposits/" + key, "100",
                     {"Idempotency-Key: k" + key, "X-Request-Timeout-Ms: 600"});
        EXPECT_NE(answer.status, 200);
      });
    }
  }
  std::this_thread::sleep_for(milliseconds(300));
  mesh_.Daemon("x").Signal(SIGCONT);
  ASSERT_TRUE(Mesh::Eventually(
      [this] { return Deposit("y", "after").status == 200; }, seconds(10)));
  std::this_thread::sleep_for(seconds(1));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(Runs("late" + std::to_string(i)), 0);
}

}  // namespace
}  // namespace hibiscusglade
