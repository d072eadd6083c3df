#include <gtest/gtest.h>

#include <algorithm>

#include "membership/tests/simulated_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// All instances of domain a but one fall silent, both relays included.
class ADomainOfSevenWithOneLeft : public SomeInstances {
 protected:
  ADomainOfSevenWithOneLeft() {
    for (const char* name : {"a1", "a2", "a3", "a4", "a5", "a6", "a7", "b1",
                             "b2", "b3", "c1", "c2", "c3"}) {
      Start(name);
    }
    Run(seconds(12));
  }

  /// @return the instances of domain a that aren't its relays.
  static std::vector<std::string> Survivors() {
    std::vector<std::string> names = {"a1", "a2", "a3", "a4", "a5", "a6", "a7"};
    std::sort(names.begin(), names.end(), [](const auto& a, const auto& b) {
      return DigestOf(a) < DigestOf(b);
    });
    names.erase(names.begin(), names.begin() + 2);
    return names;
  }

  void Darken(const std::string& survivor) {
    for (const auto& [name, node] : nodes_) {
      if (name[0] == 'a' && name != survivor) dark_.insert(name);
    }
  }

  void Announce(const std::string& name, UpstreamState state) {
    Send(name,
         nodes_.at(name)->OnAnnounce(
             {"plots", "127.0.0.1:80", 6, 130, state, "", 0, 0, {}}, now_));
  }

  UpstreamState UpstreamAt(const std::string& viewer, const std::string& name) {
    for (const InstanceRecord& record : nodes_.at(viewer)->Records()) {
      if (record.instance == name) return record.upstream_state;
    }
    return UpstreamState::kNone;
  }

  /// @return the time until `viewer` knows the state; `limit` if it is longer.
  Duration TimeUntilKnown(const std::string& viewer, const std::string& name,
                          UpstreamState state, Duration limit) {
    const Instant begin = now_;
    while (UpstreamAt(viewer, name) != state && now_ - begin < limit) {
      Run(milliseconds(50));
    }
    return now_ - begin;
  }
};

TEST_F(ADomainOfSevenWithOneLeft, LearnsOfDrainsElsewhereWithinSeconds) {
  for (const std::string& survivor : Survivors()) {
    Darken(survivor);
    Announce("b3", UpstreamState::kDraining);
    EXPECT_LT(
        TimeUntilKnown(survivor, "b3", UpstreamState::kDraining, seconds(30)),
        seconds(6))
        << survivor;
    Announce("c1", UpstreamState::kDraining);
    EXPECT_LT(
        TimeUntilKnown(survivor, "c1", UpstreamState::kDraining, seconds(30)),
        seconds(3))
        << survivor;
    dark_.clear();
    Announce("b3", UpstreamState::kServing);
    Announce("c1", UpstreamState::kServing);
    Run(seconds(12));
  }
}

TEST_F(ADomainOfSevenWithOneLeft, DeclaresNobodyDeadAndTakesAllBack) {
  for (const std::string& survivor : Survivors()) {
    Darken(survivor);
    for (int i = 0; i < 30; ++i) {
      Run(seconds(1));
      for (const std::string& dark : dark_) {
        EXPECT_NE(StateAt(survivor, dark), InstanceState::kDead) << dark;
        EXPECT_NE(StateAt("b1", dark), InstanceState::kDead) << dark;
      }
    }
    dark_.clear();
    Announce("a1", UpstreamState::kDraining);
    EXPECT_LT(
        TimeUntilKnown(survivor, "a1", UpstreamState::kDraining, seconds(30)),
        seconds(6))
        << survivor;
    Announce("a1", UpstreamState::kServing);
    Run(seconds(12));
    EXPECT_LE(nodes_.at(survivor)->Peers().size(), 3u);
    for (const auto& [name, node] : nodes_) {
      EXPECT_EQ(StateAt(name, "a7"), InstanceState::kAlive) << name;
    }
  }
}

class ASingleDomain : public SomeInstances {};

TEST_F(ASingleDomain, KeepsItsPeersWhenAllAreSilent) {
  for (const char* name : {"a1", "a2", "a3", "a4"}) Start(name);
  Run(seconds(8));
  dark_ = {"a1", "a2", "a3"};
  for (int i = 0; i < 20; ++i) {
    Run(seconds(1));
    EXPECT_FALSE(nodes_.at("a4")->Peers().empty());
  }
}

}  // namespace
}  // namespace hibiscusglade
