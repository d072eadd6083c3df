#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "base/key_digest.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/orders", "value": {}},
  {"op": "add", "path": "/services/mirror", "value": {}},
  {"op": "add", "path": "/classes/short", "value": {}},
  {"op": "add", "path": "/routes/orders", "value": {"path_prefix": "/orders/",
    "service": "orders", "class": "short", "repeatable": true}},
  {"op": "add", "path": "/routes/mirror", "value": {"path_prefix": "/mirror/",
    "service": "mirror", "class": "short", "repeatable": true, "open": true}},
  {"op": "add", "path": "/customers", "value": {"north": {}, "south": {}}}])";

/// Upstreams of "orders" in two domains answer with the customer that they were
/// told, the one of "mirror" with the Authorization field that it received.
class ACustomersMesh : public testing::Test {
 protected:
  ACustomersMesh()
      : mesh_(98,
              {{"x", "a", "orders", 6, true, {"--echo_field=X-Customer"}},
               {"m", "a", "mirror", 6, false, {"--echo_field=Authorization"}},
               {"y", "b", "orders", 6, false, {"--echo_field=X-Customer"}}}) {
    mesh_.Start();
  }

  /// Puts a version in force in which "north" holds the key n1.
  void PutFirstVersionsInForce() {
    for (const char* instance : {"x", "y"}) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(instance, 3, seconds(20)));
    }
    ASSERT_EQ(mesh_.Propose("x", "first", 0, kFirstPatch).status, 200);
    Give(1, {{"north", "n1"}});
    ASSERT_TRUE(mesh_.WaitForVersion(2, seconds(12)));
  }

  /// Takes all keys away and gives each customer that is named one.
  void Give(uint64_t base, const std::map<std::string, std::string>& keys) {
    json patch = json::array();
    for (const char* customer : {"north", "south"}) {
      json digests = json::array();
      if (keys.contains(customer)) {
        digests.push_back(KeyDigest::Of(keys.at(customer)).Hex());
      }
      patch.push_back({{"op", "add"},
                       {"path", std::string("/customers/") + customer},
                       {"value", {{"keys", digests}}}});
    }
    ASSERT_EQ(
        mesh_.Propose("x", std::to_string(base), base, patch.dump()).status,
        200);
  }

  HttpAnswer Get(const std::string& instance, const std::string& path,
                 const std::vector<std::string>& fields) const {
    return SendHttp("GET", mesh_.CallerUrl(instance) + path, "", fields);
  }

  /// @return the customer by whose name a request with the key n1 ran, else its
  /// status.
  std::string HolderAt(const std::string& instance) const {
    const HttpAnswer answer =
        Get(instance, "/orders/1", {"Authorization: Bearer n1"});
    return answer.status == 200 ? answer.fields.at("x-customer")
                                : std::to_string(answer.status);
  }

  Mesh mesh_;
};

TEST_F(ACustomersMesh, TellsUpstreamsTheCustomerAndNobodyTheKey) {
  PutFirstVersionsInForce();
  const HttpAnswer answer =
      Get("y", "/orders/1",
          {"Authorization: Bearer n1", "X-Customer: south", "x-cUSTOMER: x"});
  EXPECT_EQ(answer.fields.at("x-customer"), "north");
  const HttpAnswer open = Get("y", "/mirror/1", {"Authorization: Bearer n1"});
  EXPECT_EQ(open.status, 200);
  EXPECT_EQ(open.fields.at("authorization"), "");
  const HttpAnswer refused = Get("y", "/orders/1", {});
  EXPECT_EQ(refused.status, 401);
  EXPECT_EQ(refused.Code(), 4013);
  EXPECT_EQ(refused.Outcome(), "not-run");
  EXPECT_EQ(Get("y", "/orders/1", {"Authorization: Bearer n2"}).Code(), 4014);
}

TEST_F(ACustomersMesh, AnswersNoOldKeyAndNo401WhileADaemonStarts) {
  PutFirstVersionsInForce();
  mesh_.KillDaemon("y");
  Give(2, {{"south", "n1"}});
  mesh_.StartDaemon("y");
  std::string seen;
  EXPECT_TRUE(Mesh::Eventually(
      [&] {
        seen = HolderAt("y");
        // 0 is no connection, or one that ended.
        EXPECT_TRUE(seen == "0" || seen == "503" || seen == "south") << seen;
        return seen == "south";
      },
      seconds(20)));
}

TEST_F(ACustomersMesh, GoesOnWithTheKeysThatACutOffDomainKnows) {
  PutFirstVersionsInForce();
  mesh_.LinkRelay().SetPolicy(
      [this](const std::string& from, const std::string& to) {
        const bool cut = mesh_.DomainOfIp(from) != mesh_.DomainOfIp(to);
        return Relay::Link{cut ? LinkMode::kSilent : LinkMode::kPass};
      });
  Give(2, {});
  EXPECT_TRUE(
      Mesh::Eventually([&] { return HolderAt("x") == "401"; }, seconds(5)));
  EXPECT_TRUE(
      Mesh::Eventually([&] { return HolderAt("y") == "north"; }, seconds(12)));
  mesh_.LinkRelay().SetPolicy(
      [](const std::string&, const std::string&) { return Relay::Link{}; });
  EXPECT_TRUE(
      Mesh::Eventually([&] { return HolderAt("y") == "401"; }, seconds(20)));
}

}  // namespace
}  // namespace hibiscusglade
