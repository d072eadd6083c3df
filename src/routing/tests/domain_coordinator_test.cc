#include "routing/domain_coordinator.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscusglade {
namespace {

std::vector<DomainDaemon> Daemons(int count) {
  std::vector<DomainDaemon> daemons;
  for (int i = 0; i < count; ++i) {
    daemons.push_back({"daemon-" + std::to_string(i), "a", "", 1, ""});
  }
  return daemons;
}

TEST(TheCoordinator, IsTheSameInWhateverOrderDaemonsAreKnown) {
  std::vector<DomainDaemon> daemons = Daemons(9);
  const std::string chosen = ChooseCoordinator(daemons, "limits")->instance;
  std::ranges::reverse(daemons);
  EXPECT_EQ(ChooseCoordinator(daemons, "limits")->instance, chosen);
}

TEST(TheCoordinator, StaysWhenAnotherDaemonGoes) {
  std::vector<DomainDaemon> daemons = Daemons(9);
  const std::string chosen = ChooseCoordinator(daemons, "limits")->instance;
  std::erase_if(daemons, [&](const DomainDaemon& daemon) {
    return daemon.instance == (chosen == "daemon-0" ? "daemon-1" : "daemon-0");
  });
  EXPECT_EQ(ChooseCoordinator(daemons, "limits")->instance, chosen);
}

// Guards against limits that nobody granted for seconds: in a release, a
// newcomer that had no version yet could become a domain's coordinator.
TEST(TheCoordinator, IsNoNewcomerWhileOthersLive) {
  std::vector<DomainDaemon> daemons = Daemons(9);
  for (int i = 0; i < 9; ++i) {
    daemons.push_back({"new-" + std::to_string(i), "a", "", 20'000'000, ""});
  }
  for (const char* matter : {"limits", "1", "2", "3", "4", "5", "6", "7"}) {
    EXPECT_EQ(ChooseCoordinator(daemons, matter)->incarnation, 1U) << matter;
  }
  daemons.erase(daemons.begin(), daemons.begin() + 9);
  EXPECT_EQ(ChooseCoordinator(daemons, "limits")->incarnation, 20'000'000U);
}

TEST(TheCoordinator, IsNobodyWhereNoDaemonIsKnown) {
  EXPECT_EQ(ChooseCoordinator({}, "limits"), nullptr);
}

}  // namespace
}  // namespace hibiscusglade
