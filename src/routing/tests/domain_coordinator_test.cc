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

TEST(TheCoordinator, IsNobodyWhereNoDaemonIsKnown) {
  EXPECT_EQ(ChooseCoordinator({}, "limits"), nullptr);
}

}  // namespace
}  // namespace hibiscusglade
