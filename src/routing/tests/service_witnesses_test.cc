#include "routing/service_witnesses.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "versions/config_reader.h"

namespace hibiscusglade {
namespace {

class TheWitnesses : public testing::Test {
 protected:
  void Add(const std::string& name, const std::string& domain,
           const std::string& service) {
    InstanceRecord record;
    record.instance = name;
    record.failure_domain = domain;
    record.request_address = name;
    record.service = service;
    records_.push_back(record);
  }

  RouteTable Table() const {
    std::vector<SettingsFault> faults;
    return {MakeConfigVersion(1, 0, "{}", "", faults), records_};
  }

  std::vector<std::string> Of(const std::string& service,
                              const std::string& self) const {
    std::vector<std::string> names;
    for (const DomainDaemon& witness : WitnessesOf(Table(), service, self)) {
      names.push_back(witness.instance);
    }
    std::ranges::sort(names);
    return names;
  }

  std::vector<InstanceRecord> records_;
};

using Names = std::vector<std::string>;

TEST_F(TheWitnesses, AreAllOwnersWhetherTheirUpstreamsServeOrNot) {
  for (const char* name : {"a1", "a2", "a3"}) Add(name, "a", "orders");
  for (const char* name : {"b1", "b2"}) Add(name, "b", "orders");
  Add("c1", "c", "plots");
  EXPECT_EQ(Of("orders", "a1"), Names({"a2", "a3", "b1", "b2"}));
}

TEST_F(TheWitnesses, AreOthersTooWhereOwnersAreFew) {
  Add("a1", "a", "orders");
  EXPECT_EQ(Of("orders", "a1"), Names());
  for (const char* name : {"b1", "b2", "b3", "b4", "b5", "b6"}) {
    Add(name, "b", "plots");
  }
  const Names chosen = Of("orders", "a1");
  EXPECT_EQ(chosen.size(), 4u);
  std::erase_if(records_, [&](const InstanceRecord& record) {
    return record.instance == chosen.front();
  });
  const Names later = Of("orders", "a1");
  EXPECT_EQ(later.size(), 4u);
  for (size_t i = 1; i < chosen.size(); ++i) {
    EXPECT_TRUE(std::ranges::count(later, chosen[i])) << chosen[i];
  }
}

TEST_F(TheWitnesses, AreAskedInEachFailureDomainFirst) {
  for (const char* domain : {"a", "b", "c"}) {
    for (int i = 0; i < 5; ++i) {
      Add(domain + std::to_string(i), domain, "orders");
    }
  }
  const auto witnesses = WitnessesOf(Table(), "orders", "a0");
  const Names order = OrderToAsk(witnesses, "a0");
  EXPECT_EQ(order.size(), 14u);
  std::string domains;
  for (int i = 0; i < 3; ++i) domains += order[static_cast<size_t>(i)][0];
  std::ranges::sort(domains);
  EXPECT_EQ(domains, "abc");
  EXPECT_NE(order, OrderToAsk(witnesses, "b0"));
}

}  // namespace
}  // namespace hibiscusglade
