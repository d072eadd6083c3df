#include "control/internal/ask_targets.h"

#include <gtest/gtest.h>

#include <set>

namespace hibiscusglade {
namespace {

InstanceRecord RecordOf(const std::string& name, const std::string& domain) {
  InstanceRecord record;
  record.instance = name;
  record.failure_domain = domain;
  record.control_address = name + ":1";
  return record;
}

/// This daemon is "a1"; "a2" is a relay of its failure domain.
class AskTargetsOfADaemon : public testing::Test {
 protected:
  AskTargetsOfADaemon() {
    for (const char* name : {"a1", "a2", "a3", "b1", "b2", "c1"}) {
      records_.push_back(RecordOf(name, std::string(1, name[0])));
    }
    records_.back().replica = true;
    Update();
  }

  void Update() { targets_.OnViewChanged(); }

  /// @return the next `count` targets of a scope.
  std::set<std::string> Next(AskScope scope, int count) {
    std::set<std::string> targets;
    for (int i = 0; i < count; ++i) targets.insert(targets_.Next(scope));
    return targets;
  }

  using Targets = std::set<std::string>;

  std::vector<InstanceRecord> records_;
  AskTargets targets_{"a1:1", "a", [this](AskTargets& targets) {
                        targets.SetInstances(records_, {"a2"}, {"seed:1"});
                      }};
};

TEST_F(AskTargetsOfADaemon, AreNotTheDaemonItself) {
  EXPECT_EQ(Next(AskScope::kOwnDomain, 2), (Targets{"a2:1", "a3:1"}));
}

TEST_F(AskTargetsOfADaemon, IncludeSeedsAmongTheReplicas) {
  EXPECT_EQ(Next(AskScope::kReplicas, 2), (Targets{"c1:1", "seed:1"}));
}

TEST_F(AskTargetsOfADaemon, AreRelaysOfTheOwnDomainOnly) {
  EXPECT_EQ(Next(AskScope::kOwnRelays, 2), Targets{"a2:1"});
}

TEST_F(AskTargetsOfADaemon, TakeTurns) {
  const std::string first = targets_.Next(AskScope::kOtherDomains);
  const std::string second = targets_.Next(AskScope::kOtherDomains);
  EXPECT_NE(first, second);
  EXPECT_EQ(targets_.Next(AskScope::kOtherDomains), first);
}

TEST_F(AskTargetsOfADaemon, KeepTheirTurnsWhenTheViewChanges) {
  const std::string first = targets_.Next(AskScope::kOtherDomains);
  records_.push_back(RecordOf("b3", "b"));
  Update();
  EXPECT_FALSE(Next(AskScope::kOtherDomains, 2).contains(first));
}

TEST_F(AskTargetsOfADaemon, IncludeSuspectedInstancesButNoneThatHaveLeft) {
  records_[1].state = InstanceState::kSuspected;
  records_[2].state = InstanceState::kLeft;
  Update();
  EXPECT_EQ(Next(AskScope::kOwnDomain, 2), Targets{"a2:1"});
}

TEST_F(AskTargetsOfADaemon, IncludeReplicasThatAreDeclaredDead) {
  records_.back().state = InstanceState::kDead;
  Update();
  EXPECT_TRUE(Next(AskScope::kReplicas, 2).contains("c1:1"));
}

TEST_F(AskTargetsOfADaemon, AreEmptyWhenNobodyIsKnown) {
  AskTargets targets("a1:1", "a", [](AskTargets&) {});
  EXPECT_EQ(targets.Next(AskScope::kOwnDomain), "");
}

}  // namespace
}  // namespace hibiscusglade
