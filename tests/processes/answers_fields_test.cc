#include <gtest/gtest.h>

#include "tests/harness/mesh.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

class ACallersFields : public ClaimsMesh {
 protected:
  ACallersFields() : ClaimsMesh(96, {{"x", "a", "orders", 6, true, {}}}) {}

  HttpAnswer Send(const std::string& method,
                  const std::vector<std::string>& fields) const {
    return SendHttp(method, mesh_.CallerUrl("x") + "/catalogue/1", "", fields);
  }
};

TEST_F(ACallersFields, AreRefusedAsNotRunWhenTheyHoldNoNumber) {
  PutFirstVersionInForce(1);
  for (const char* field :
       {"X-Request-Timeout-Ms: soon", "X-Request-Timeout-Ms: -1",
        "X-Request-Timeout-Ms: 99999999999", "X-Request-Depth: deep"}) {
    const HttpAnswer answer = Send("GET", {field});
    EXPECT_EQ(answer.status, 400) << field;
    EXPECT_EQ(answer.Code(), 7004) << field;
    EXPECT_EQ(answer.Outcome(), "not-run") << field;
  }
  EXPECT_EQ(Send("GET", {"X-Request-Timeout-Ms: 5000"}).status, 200);
}

TEST_F(ACallersFields, GiveNoBodyInTheAnswerToAHeadRequest) {
  PutFirstVersionInForce(1);
  const HttpAnswer answer = Send("HEAD", {});
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.empty());
}

}  // namespace
}  // namespace hibiscusglade
