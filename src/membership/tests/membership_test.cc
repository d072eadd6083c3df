#include "membership/membership.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "membership/tests/simulated_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TwelveInstancesInThreeDomains : public SomeInstances {
 protected:
  TwelveInstancesInThreeDomains() {
    for (char domain : {'a', 'b', 'c'}) {
      for (char place : {'1', '2', '3', '4'}) Start({domain, place});
    }
    Run(seconds(8));
  }
};

TEST_F(TwelveInstancesInThreeDomains, LearnOfEachOther) {
  for (const auto& [name, node] : nodes_) EXPECT_EQ(CountAt(name), 12u) << name;
}

TEST_F(TwelveInstancesInThreeDomains, LearnOfADrainWithinSeconds) {
  nodes_["c3"]->OnAnnounce(
      {"plots", "127.0.0.1:80", 6, 130, UpstreamState::kDraining}, now_);
  Run(seconds(2));
  for (const auto& [name, node] : nodes_) {
    for (const InstanceRecord& record : node->Records()) {
      if (record.instance != "c3") continue;
      EXPECT_EQ(record.upstream_state, UpstreamState::kDraining) << name;
    }
  }
}

TEST_F(TwelveInstancesInThreeDomains, LearnOfADrainWhileTheyStop) {
  for (const char* name : {"a2", "b2", "c2"}) {
    Send(name, nodes_[name]->Leave(now_));
  }
  Run(seconds(1));
  nodes_["c3"]->OnAnnounce(
      {"plots", "127.0.0.1:80", 6, 130, UpstreamState::kDraining}, now_);
  Run(seconds(2));
  for (const auto& [name, node] : nodes_) {
    for (const InstanceRecord& record : node->Records()) {
      if (record.instance != "c3") continue;
      EXPECT_EQ(record.upstream_state, UpstreamState::kDraining) << name;
    }
  }
}

TEST_F(TwelveInstancesInThreeDomains, DeclareASilentOneDead) {
  nodes_.erase("b2");
  Run(seconds(12));
  for (const auto& [name, node] : nodes_) {
    EXPECT_EQ(StateAt(name, "b2"), InstanceState::kDead) << name;
  }
}

TEST_F(TwelveInstancesInThreeDomains, EvictNobodyForOneBadLink) {
  cut_links_ = {{"a1", "a2"}, {"a2", "a1"}};
  for (int i = 0; i < 20; ++i) {
    Run(seconds(1));
    for (const auto& [name, node] : nodes_) {
      EXPECT_NE(StateAt(name, "a1"), InstanceState::kDead);
      EXPECT_NE(StateAt(name, "a2"), InstanceState::kDead);
    }
  }
}

TEST_F(TwelveInstancesInThreeDomains,
       DistinguishACutOffDomainFromDeadInstances) {
  cut_domains_ = {'c'};
  Run(seconds(12));
  for (const char* name : {"a1", "a4", "b2", "b3"}) {
    EXPECT_FALSE(nodes_.at(name)->DomainReachable("c")) << name;
    EXPECT_TRUE(nodes_.at(name)->DomainReachable(name[0] == 'a' ? "b" : "a"));
    EXPECT_EQ(StateAt(name, "c1"), InstanceState::kSuspected);
  }
  EXPECT_FALSE(nodes_.at("c3")->DomainReachable("a"));
  EXPECT_EQ(StateAt("c3", "c1"), InstanceState::kAlive);
  cut_domains_.clear();
  Run(seconds(12));
  for (const auto& [name, node] : nodes_) {
    EXPECT_TRUE(node->DomainReachable("a") && node->DomainReachable("c"));
    EXPECT_EQ(StateAt(name, "c1"), InstanceState::kAlive) << name;
  }
}

/// Fifty versions, one every 100 ms for five seconds, must not each be
/// gossiped: in that time other daemons see two or three updates.
TEST_F(TwelveInstancesInThreeDomains, GossipTheirVersionRarelyDuringABurst) {
  Run(seconds(10));
  const auto version_at = [this](const std::string& name) {
    for (const InstanceRecord& record : nodes_[name]->Records()) {
      if (record.instance == "a1") return record.version_in_use;
    }
    return uint64_t{0};
  };
  int updates_seen = 0;
  uint64_t last_seen = 0;
  for (uint64_t version = 1; version <= 50; ++version) {
    nodes_["a1"]->SetVersionInUse(version, 0, now_);
    Run(milliseconds(100));
    if (version_at("b1") != last_seen) ++updates_seen;
    last_seen = version_at("b1");
  }
  EXPECT_GE(updates_seen, 2);
  EXPECT_LE(updates_seen, 3);
  Run(seconds(4));
  EXPECT_EQ(version_at("c4"), 50u);
}

TEST_F(TwelveInstancesInThreeDomains, ReportNoChangeForAVersionInUse) {
  InstanceRecord record = nodes_["a1"]->Records().back();
  ++record.sequence;
  record.version_in_use = 9;
  EXPECT_FALSE(
      nodes_["a1"]->OnMessage("b1", GossipMessage{{record}, {}}, now_).changed);
  EXPECT_EQ(nodes_["a1"]->Records().back().version_in_use, 9u);
  ++record.sequence;
  record.upstream_state = UpstreamState::kDraining;
  EXPECT_TRUE(
      nodes_["a1"]->OnMessage("b1", GossipMessage{{record}, {}}, now_).changed);
}

TEST_F(TwelveInstancesInThreeDomains, ForgetADomainThatStaysCutOff) {
  cut_domains_ = {'c'};
  Run(seconds(660));
  EXPECT_EQ(CountAt("a1"), 8u);
  EXPECT_EQ(CountAt("c1"), 4u);
  cut_domains_.clear();
  Run(seconds(60));
  for (const auto& [name, node] : nodes_) EXPECT_EQ(CountAt(name), 12u) << name;
}

TEST_F(TwelveInstancesInThreeDomains, AcceptAnInstanceAgainAfterALongPause) {
  auto stopped = std::move(nodes_["b2"]);
  nodes_.erase("b2");
  Run(seconds(12));
  nodes_["b2"] = std::move(stopped);
  Run(seconds(12));
  for (const auto& [name, node] : nodes_) {
    EXPECT_EQ(StateAt(name, "b2"), InstanceState::kAlive) << name;
  }
}

TEST_F(TwelveInstancesInThreeDomains, TakeTheLaterIncarnation) {
  Start("a3", 2);
  Run(seconds(8));
  for (const auto& [name, node] : nodes_) {
    for (const InstanceRecord& record : node->Records()) {
      if (record.instance == "a3") {
        EXPECT_EQ(record.incarnation, 2u) << name;
      }
    }
  }
}

/// The daemon has acknowledged that its upstream leaves and is then killed. An
/// announcement that the upstream sent before arrives late, at its next
/// process.
class ADaemonRestartedWhileItsUpstreamLeaves
    : public TwelveInstancesInThreeDomains {
 protected:
  ADaemonRestartedWhileItsUpstreamLeaves() {
    Announce(5, UpstreamState::kServing);
    Run(seconds(2));
  }

  void Announce(uint64_t sequence, UpstreamState state,
                int64_t started_at_ms = 1000) {
    UpstreamAnnouncement upstream{"plots", "127.0.0.1:80", 6, 130, state};
    upstream.id = "i-1";
    upstream.started_at_ms = started_at_ms;
    upstream.sequence = sequence;
    nodes_["c3"]->OnAnnounce(upstream, now_);
  }

  void Restart() {
    Run(milliseconds(500));
    Start("c3", 2);
  }

  std::optional<UpstreamAnnouncement> Upstream() {
    return nodes_["c3"]->LocalUpstream();
  }
};

TEST_F(ADaemonRestartedWhileItsUpstreamLeaves, KeepsItLeft) {
  nodes_["c3"]->OnUpstreamLeft("i-1", 1000, now_);
  Restart();
  Run(milliseconds(500));
  Announce(4, UpstreamState::kServing);
  EXPECT_FALSE(Upstream().has_value());
  Announce(1, UpstreamState::kServing, 2000);
  EXPECT_TRUE(Upstream().has_value());
}

TEST_F(ADaemonRestartedWhileItsUpstreamLeaves, KeepsItDraining) {
  Announce(6, UpstreamState::kDraining);
  Restart();
  Run(milliseconds(500));
  Announce(5, UpstreamState::kServing);
  EXPECT_FALSE(Upstream().has_value());
  Announce(6, UpstreamState::kDraining);
  ASSERT_TRUE(Upstream().has_value());
  EXPECT_EQ(Upstream()->state, UpstreamState::kDraining);
}

TEST_F(ADaemonRestartedWhileItsUpstreamLeaves,
       RemovesItWhenTheLateAnnouncementCameFirst) {
  nodes_["c3"]->OnUpstreamLeft("i-1", 1000, now_);
  Restart();
  Announce(4, UpstreamState::kServing);
  Run(milliseconds(500));
  EXPECT_FALSE(Upstream().has_value());
}

TEST_F(ADaemonRestartedWhileItsUpstreamLeaves, KeepsItLeftAfterTwoRestarts) {
  nodes_["c3"]->OnUpstreamLeft("i-1", 1000, now_);
  Restart();
  Run(seconds(1));
  Start("c3", 3);
  Run(milliseconds(500));
  Announce(4, UpstreamState::kServing);
  EXPECT_FALSE(Upstream().has_value());
}

TEST_F(ADaemonRestartedWhileItsUpstreamLeaves, ServesAgainWhenItDidNotLeave) {
  Restart();
  Run(milliseconds(500));
  Announce(6, UpstreamState::kServing);
  ASSERT_TRUE(Upstream().has_value());
  EXPECT_EQ(Upstream()->state, UpstreamState::kServing);
}

/// The seeds are restarted at the same moment, so that those that the daemon
/// reaches first know nothing of its earlier process.
TEST_F(ADaemonRestartedWhileItsUpstreamLeaves,
       KeepsItDrainingWhenItsSeedsHaveForgottenIt) {
  Announce(6, UpstreamState::kDraining);
  for (uint64_t restart = 2; restart < 42; ++restart) {
    Run(milliseconds(1500 + 50 * restart));
    Start("a1", restart);
    Start("b1", restart);
    Start("c3", restart);
    Run(seconds(8));
    Announce(5, UpstreamState::kServing);
    EXPECT_FALSE(Upstream().has_value()) << "after restart " << restart;
    Announce(6, UpstreamState::kDraining);
  }
}

TEST_F(ADaemonRestartedWhileItsUpstreamLeaves,
       KeepsItLeftWhenTheProcessBeforeDidNotKnowIt) {
  Start("c3", 2);
  nodes_["c3"]->OnUpstreamLeft("i-1", 1000, now_);
  Run(milliseconds(500));
  Start("c3", 3);
  Run(milliseconds(500));
  Announce(5, UpstreamState::kServing);
  EXPECT_FALSE(Upstream().has_value());
}

/// Its daemon loses power as soon as it has handled the deregistration, which
/// is when the upstream gets its acknowledgement.
TEST_F(ADaemonRestartedWhileItsUpstreamLeaves,
       KeepsItLeftWhenItEndedRightAfterTheAcknowledgement) {
  Send("c3", nodes_["c3"]->OnUpstreamLeft("i-1", 1000, now_));
  nodes_.erase("c3");
  Run(milliseconds(500));
  Start("c3", 2);
  Run(milliseconds(500));
  Announce(4, UpstreamState::kServing);
  EXPECT_FALSE(Upstream().has_value());
}

TEST_F(ADaemonRestartedWhileItsUpstreamLeaves,
       KeepsItDrainingWhenItEndedRightAfterTheAcknowledgement) {
  UpstreamAnnouncement draining = *Upstream();
  draining.state = UpstreamState::kDraining;
  draining.sequence = 6;
  Send("c3", nodes_["c3"]->OnAnnounce(draining, now_));
  nodes_.erase("c3");
  Run(milliseconds(500));
  Start("c3", 2);
  Run(milliseconds(500));
  Announce(5, UpstreamState::kServing);
  EXPECT_FALSE(Upstream().has_value());
}

/// The incarnation is the time of day at the start of the process. The clock
/// was set back between the starts of two processes.
TEST_F(TwelveInstancesInThreeDomains, TakeALaterProcessWhoseClockWasSetBack) {
  Start("a3", 9);
  Run(seconds(8));
  nodes_.erase("a3");
  Run(seconds(12));
  Start("a3", 2);
  Run(seconds(8));
  for (const auto& [name, node] : nodes_) {
    EXPECT_EQ(StateAt(name, "a3"), InstanceState::kAlive) << name;
  }
}

/// The earlier process had acknowledged that its upstream leaves.
TEST_F(ADaemonRestartedWhileItsUpstreamLeaves,
       KeepsItLeftWhenItsClockWasSetBack) {
  Start("c3", 9);
  Run(seconds(2));
  Announce(6, UpstreamState::kServing);
  nodes_["c3"]->OnUpstreamLeft("i-1", 1000, now_);
  Run(milliseconds(500));
  Start("c3", 2);
  Run(milliseconds(500));
  Announce(4, UpstreamState::kServing);
  EXPECT_FALSE(Upstream().has_value());
  Announce(1, UpstreamState::kServing, 2000);
  Run(seconds(2));
  for (const auto& [name, node] : nodes_) {
    EXPECT_EQ(StateAt(name, "c3"), InstanceState::kAlive) << name;
  }
}

/// Two processes were given one name, at different addresses. The later one
/// keeps it, and they don't overtake each other.
TEST_F(TwelveInstancesInThreeDomains, KeepTheLaterOfTwoProcessesOfOneName) {
  MembershipConfig config;
  config.self.instance = "a3";
  config.self.failure_domain = "a";
  config.self.incarnation = 2;
  config.self.control_address = "elsewhere";
  config.seeds = {"a1", "b1"};
  nodes_["elsewhere"] = MakeMembership(config, 1, now_);
  Run(seconds(20));
  for (const auto& [name, node] : nodes_) {
    for (const InstanceRecord& record : node->Records()) {
      if (record.instance == "a3" && name != "a3") {
        EXPECT_EQ(record.incarnation, 2u) << name;
        EXPECT_EQ(record.state, InstanceState::kAlive) << name;
      }
    }
  }
}

/// A relay ends at the moment at which another domain is cut off. Its last
/// record, which lists no unreachable domain, must not count for long.
TEST_F(TwelveInstancesInThreeDomains, NoticeACutDomainWhenARelayEndsAsWell) {
  std::string relay = "a1";
  for (const char* name : {"a2", "a3", "a4"}) {
    if (DigestOf(name) < DigestOf(relay)) relay = name;
  }
  nodes_.erase(relay);
  cut_domains_ = {'c'};
  const Duration detection = MembershipConfig{}.domain_timeout + seconds(2);
  Run(detection);
  for (const auto& [name, node] : nodes_) {
    if (name[0] == 'a') {
      EXPECT_FALSE(node->DomainReachable("c")) << name;
    }
  }
}

/// The relay that takes the place of the one that ended lists no domain before
/// it has probed them for a while.
TEST_F(TwelveInstancesInThreeDomains, KeepACutDomainWhileARelayIsReplaced) {
  for (const size_t place : {0, 1}) {
    std::vector<std::string> names = {"a1", "a2", "a3", "a4"};
    std::sort(names.begin(), names.end(), [](const auto& a, const auto& b) {
      return DigestOf(a) < DigestOf(b);
    });
    const std::string& relay = names[place];
    nodes_.erase(relay);
    cut_domains_ = {'c'};
    Run(seconds(6));
    for (int i = 0; i < 400; ++i) {
      Run(milliseconds(50));
      for (const auto& [name, node] : nodes_) {
        if (name[0] != 'a') continue;
        EXPECT_FALSE(node->DomainReachable("c")) << name << ", step " << i;
        EXPECT_TRUE(node->DomainReachable("b")) << name << ", step " << i;
      }
    }
    cut_domains_.clear();
    Start(relay, 2);
    Run(seconds(12));
    for (const auto& [name, node] : nodes_) {
      EXPECT_TRUE(node->DomainReachable("c")) << name;
    }
  }
}

/// One relay alone doesn't reach a domain, and the other one ends. When its
/// successor has had the time to find out, it counts.
TEST_F(TwelveInstancesInThreeDomains, ReportWhenADomainCountsAgain) {
  std::vector<std::string> names = {"a1", "a2", "a3", "a4"};
  std::sort(names.begin(), names.end(), [](const auto& a, const auto& b) {
    return DigestOf(a) < DigestOf(b);
  });
  const std::string viewer = names[3];
  for (const char* other : {"c1", "c2", "c3", "c4"}) {
    cut_links_.insert({names[0], other});
    cut_links_.insert({other, names[0]});
  }
  Run(seconds(6));
  EXPECT_TRUE(nodes_.at(viewer)->DomainReachable("c"));
  nodes_.erase(names[1]);
  int flips = 0;
  for (int i = 0; i < 500; ++i) {
    const bool before = nodes_.at(viewer)->DomainReachable("c");
    const int changes = changes_[viewer];
    Run(milliseconds(50));
    if (nodes_.at(viewer)->DomainReachable("c") == before) continue;
    ++flips;
    EXPECT_GT(changes_[viewer], changes) << i;
  }
  EXPECT_EQ(flips, 2);
  EXPECT_TRUE(nodes_.at(viewer)->DomainReachable("c"));
}

/// Its peers have declared it dead while it was cut off, and don't include it
/// any more in what they send.
TEST_F(TwelveInstancesInThreeDomains, TakeBackAnInstanceSoonAfterItsCutEnds) {
  for (int cut_seconds = 6; cut_seconds <= 12; ++cut_seconds) {
    for (const auto& [name, node] : nodes_) {
      if (name == "c4") continue;
      cut_links_.insert({"c4", name});
      cut_links_.insert({name, "c4"});
    }
    Run(seconds(cut_seconds));
    cut_links_.clear();
    Run(seconds(3));
    for (const auto& [name, node] : nodes_) {
      EXPECT_EQ(StateAt(name, "c4"), InstanceState::kAlive)
          << name << " after a cut of " << cut_seconds << " s";
    }
    Run(seconds(10));
  }
}

class AnUpstreamsLease : public SomeInstances {};

TEST_F(AnUpstreamsLease, EndsWhenItIsNotRenewed) {
  Start("a1");
  nodes_["a1"]->OnAnnounce(
      {"plots", "127.0.0.1:80", 6, 130, UpstreamState::kServing}, now_);
  now_ += seconds(6);
  EXPECT_TRUE(nodes_["a1"]->OnTick(now_).changed);
  EXPECT_FALSE(nodes_["a1"]->LocalUpstream().has_value());
}

class ALargeMesh : public SomeInstances {};

TEST_F(ALargeMesh, GivesEachDaemonABoundedNumberOfPeers) {
  for (int i = 0; i < 120; ++i) {
    Start(std::string(1, static_cast<char>('a' + i % 2)) + std::to_string(i));
  }
  Start("a1");
  Start("b1");
  Run(seconds(12));
  for (const auto& [name, node] : nodes_) {
    EXPECT_EQ(CountAt(name), nodes_.size()) << name;
    EXPECT_LE(node->Peers().size(), 8u) << name;
  }
}

}  // namespace
}  // namespace hibiscusglade
