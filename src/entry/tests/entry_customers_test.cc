#include <nlohmann/json.hpp>

#include "calls/access_key.h"
#include "entry/tests/entry_fixture.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

json KeysOf(const std::vector<std::string>& keys) {
  json digests = json::array();
  for (const std::string& key : keys) {
    digests.push_back(KeyDigest::Of(key).Hex());
  }
  return {{"keys", digests}};
}

class AnEntryWithCustomers : public AnEntry {
 protected:
  AnEntryWithCustomers() { PublishCustomers({{"north", KeysOf({"n1"})}}); }

  /// Puts the next version in use.
  void PublishCustomers(const json& customers) {
    json document = json::parse(kDocument);
    document["routes"]["tags"]["open"] = true;
    document["customers"] = customers;
    PublishVersion(++version_, document.dump());
  }

  void BeginWith(const std::string& key, const std::string& target) {
    CallRequest request;
    request.method = "GET";
    request.target = target;
    if (!key.empty())
      ReadAccessKey({"Authorization", "Bearer " + key}, request);
    received_.clear();
    owners_.started.clear();
    entry_->Begin(++last_call_, request,
                  std::make_unique<RecordingStream>(received_, retry_after_),
                  now_);
  }

  /// @return the customer of a read; "refused" with the code, when it is.
  std::string CustomerOf(const std::string& key) {
    BeginWith(key, "/reads/1");
    return owners_.started.empty() ? received_ : owners_.last.request.customer;
  }

  uint64_t version_ = 1;
};

TEST_F(AnEntryWithCustomers, TellsOwnersWhoACallIsFromButNotTheKey) {
  json north = KeysOf({"n1"});
  north["priority"] = 2;
  PublishCustomers({{"north", north}});
  BeginWith("n1", "/reads/1");
  EXPECT_EQ(owners_.last.request.customer, "north");
  EXPECT_EQ(owners_.last.priority, 2U);
  EXPECT_EQ(owners_.last.request.access_key, "");
  EXPECT_TRUE(owners_.last.request.key_fields.empty());
  EXPECT_TRUE(owners_.last.request.headers.empty());
}

TEST_F(AnEntryWithCustomers, RefusesACallWithoutAKnownKeyAsNotRun) {
  EXPECT_EQ(CustomerOf(""), "refused 4013 not-run");
  EXPECT_EQ(CustomerOf("n2"), "refused 4014 not-run");
  EXPECT_EQ(retry_after_, Duration{});
  EXPECT_EQ(CounterValue("call_refusals_total{code=\"4013\"}"), 1);
  EXPECT_EQ(CounterValue("call_refusals_total{code=\"4014\"}"), 1);
}

TEST_F(AnEntryWithCustomers, ServesOpenRoutesWithoutAKey) {
  BeginWith("", "/tags/1");
  ASSERT_EQ(owners_.started.size(), 1U);
  EXPECT_EQ(owners_.last.request.customer, "");
  EXPECT_EQ(owners_.last.priority, std::nullopt);
  BeginWith("n1", "/tags/1");
  EXPECT_EQ(owners_.last.request.customer, "north");
}

TEST_F(AnEntryWithCustomers, LooksForTheRouteBeforeTheKey) {
  BeginWith("", "/none/1");
  EXPECT_EQ(received_, "refused 4001 not-run");
}

TEST_F(AnEntryWithCustomers, RefusesAKeyFromTheVersionThatTakesItAway) {
  EXPECT_EQ(CustomerOf("n1"), "north");
  PublishCustomers({{"north", KeysOf({})}});
  EXPECT_EQ(CustomerOf("n1"), "refused 4014 not-run");
  PublishCustomers(json::object());
  EXPECT_EQ(CustomerOf("n1"), "refused 4014 not-run");
}

TEST_F(AnEntryWithCustomers, KnowsAMovedKeyByItsNewHolderAtOnce) {
  PublishCustomers({{"north", KeysOf({})}, {"south", KeysOf({"n1"})}});
  EXPECT_EQ(CustomerOf("n1"), "south");
}

TEST_F(AnEntryWithCustomers, FinishesACallWhoseKeyIsTakenAwayMeanwhile) {
  BeginWith("n1", "/reads/1");
  PublishCustomers({{"north", KeysOf({})}});
  Answer(Attempt(0), "body");
  EXPECT_EQ(received_, "head 200 body end");
}

// Guards against a 401 for a valid key by a daemon that knows no key yet.
TEST_F(AnEntryWithCustomers, WithoutAVersionPromisesToHaveNotRunIt) {
  RouteTableHolder empty;
  entry_ = MakeEntry(
      "e", 1, {owners_, empty, *chooser_, *metrics_, NoCustomerLimits()});
  EXPECT_EQ(CustomerOf("n1"), "refused 4003 not-run");
  EXPECT_EQ(CustomerOf(""), "refused 4003 not-run");
}

}  // namespace
}  // namespace hibiscusglade
