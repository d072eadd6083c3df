#include "routing/types/route_table.h"

#include <gtest/gtest.h>

#include "routing/route_table_holder.h"
#include "versions/config_reader.h"

namespace hibiscusglade {
namespace {

constexpr char kDocument[] = R"({
  "services": {"plots": {}, "archive": {}},
  "classes": {"short": {}},
  "routes": {
    "plots": {"path_prefix": "/plots/", "service": "plots", "class": "short"},
    "files": {"path_prefix": "/plots/files/", "service": "archive",
              "class": "short", "methods": ["GET"]}}})";

InstanceRecord RecordOf(const std::string& instance,
                        const std::string& service) {
  InstanceRecord record;
  record.instance = instance;
  record.service = service;
  record.upstream_state = UpstreamState::kServing;
  return record;
}

class ARouteTable : public testing::Test {
 protected:
  static RouteTable TableOf(const std::vector<InstanceRecord>& records) {
    std::vector<SettingsFault> faults;
    return {MakeConfigVersion(1, 0, kDocument, "", faults), records};
  }
};

TEST_F(ARouteTable, TakesTheLongestPrefixThatAllowsTheMethod) {
  RouteTable table = TableOf({});
  EXPECT_EQ(table.Match("any.example", "GET", "/plots/files/1?x=1")->name,
            "files");
  EXPECT_EQ(table.Match("any.example", "POST", "/plots/files/1")->name,
            "plots");
  EXPECT_EQ(table.Match("any.example", "GET", "/other"), nullptr);
}

TEST_F(ARouteTable, SharesItsCustomersWithTheNextTableOfTheSameVersionOnly) {
  std::vector<SettingsFault> faults;
  const auto version = MakeConfigVersion(1, 0, kDocument, "", faults);
  const RouteTable first(version, MeshView{});
  const RouteTable second(version, {RecordOf("a", "plots")}, &first);
  EXPECT_EQ(&second.Customers(), &first.Customers());
  const auto next = MakeConfigVersion(2, 1, kDocument, "", faults);
  const RouteTable third(next, {RecordOf("a", "plots")}, &second);
  EXPECT_NE(&third.Customers(), &first.Customers());
}

TEST_F(ARouteTable, HoldsOnlyUpstreamsThatTakeWork) {
  InstanceRecord draining = RecordOf("b", "plots");
  draining.upstream_state = UpstreamState::kDraining;
  InstanceRecord dead = RecordOf("c", "plots");
  dead.state = InstanceState::kDead;
  RouteTable table = TableOf(
      {RecordOf("a", "plots"), draining, dead, RecordOf("d", "unknown")});
  ASSERT_EQ(table.UpstreamsOf("plots")->size(), 1u);
  EXPECT_EQ(table.UpstreamsOf("plots")->at(0).instance, "a");
  EXPECT_TRUE(table.UpstreamsOf("unknown")->empty());
}

TEST_F(ARouteTable, StaysWithARequestThatBeganWithIt) {
  RouteTableHolder holder;
  EXPECT_EQ(holder.Current(), nullptr);
  holder.Publish(std::make_shared<const RouteTable>(TableOf({})));
  RouteTablePtr kept = holder.Current();
  holder.Publish(
      std::make_shared<const RouteTable>(TableOf({RecordOf("a", "plots")})));
  EXPECT_TRUE(kept->UpstreamsOf("plots")->empty());
  EXPECT_EQ(holder.Current()->UpstreamsOf("plots")->size(), 1u);
}

}  // namespace
}  // namespace hibiscusglade
