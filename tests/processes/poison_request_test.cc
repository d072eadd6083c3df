#include <gtest/gtest.h>

#include "tests/harness/mesh.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AMeshWithAPoisonRequest : public ClaimsMesh {
 protected:
  AMeshWithAPoisonRequest()
      : ClaimsMesh(93, {{"x", "a", "orders", 6, true, {}},
                        {"y", "b", "orders", 6, true, {}},
                        {"z", "c", "orders", 6, true, {}},
                        {"v", "a", "orders", 6, true, {}},
                        {"w", "b", "orders", 6, true, {}}}) {}

  int DeadUpstreams() {
    int dead = 0;
    for (const InstanceSpec& spec : instances_) {
      if (!mesh_.Upstream(spec.instance).Running()) ++dead;
    }
    return dead;
  }
};

TEST_F(AMeshWithAPoisonRequest, LosesAtMostThreeUpstreamsHoweverOftenItIsSent) {
  PutFirstVersionInForce(5);
  HttpAnswer answer;
  for (int i = 0; i < 20; ++i) {
    for (const char* entry : {"x", "y", "z"}) {
      answer = SendHttp("POST", mesh_.CallerUrl(entry) + "/catalogue/1",
                        "crash-marker", {}, 5000);
      EXPECT_NE(answer.status, 200);
    }
  }
  EXPECT_EQ(answer.Outcome(), "not-run");
  EXPECT_LE(DeadUpstreams(), 3);
  RecordProperty("dead", DeadUpstreams());
  std::printf("%d upstreams died\n", DeadUpstreams());
  EXPECT_TRUE(Mesh::Eventually(
      [this] {
        return SendHttp("GET", mesh_.CallerUrl("x") + "/catalogue/2").status ==
               200;
      },
      seconds(3)));
}

}  // namespace
}  // namespace hibiscusglade
