#include "limits/customer_limits.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <numeric>
#include <set>

namespace hibiscusglade {
namespace {

using namespace std::chrono_literals;

class TestClock : public Clock {
 public:
  Instant Now() const override { return Instant(at); }
  int64_t UnixMicros() const override { return 0; }
  Duration at = 1000s;
};

/// Passes messages to the limits of the daemon at an address. Names the sender
/// in the first message to an address only, as transports do.
class Wire : public PeerTransport {
 public:
  using Daemons = std::map<std::string, CustomerLimits*>;

  Wire(PeerIdentity self, std::string address, const Daemons& daemons)
      : self_(std::move(self)),
        address_(std::move(address)),
        daemons_(daemons) {}

  std::error_code Listen(const std::string&) override { return {}; }
  void SetReceiver(Receiver) override {}
  std::error_code Send(const std::string& address,
                       wire::Envelope& message) override {
    if (introduced_.insert(address).second) {
      message.set_instance(self_.instance);
      message.set_failure_domain(self_.failure_domain);
      message.set_incarnation(self_.incarnation);
    }
    ++sent;
    if (!cut) daemons_.at(address)->OnPeerMessage("", address_, message, {});
    return {};
  }
  std::error_code Reply(const ReturnPath& path,
                        wire::Envelope& message) override {
    return Send(path, message);
  }
  void Reset(const std::string&) override {}
  void Poll(int, Duration) override {}
  size_t OpenConnections() const override { return 0; }

  int sent = 0;
  bool cut = false;

 private:
  PeerIdentity self_;
  std::string address_;
  const Daemons& daemons_;
  std::set<std::string> introduced_;
};

/// Three daemons of failure domain x, and one of y.
class LimitsOfAMesh : public testing::Test {
 protected:
  /// @param domains that are configured; none: as found.
  explicit LimitsOfAMesh(const std::vector<std::string>& domains = {"x", "y"}) {
    for (const char* name : {"a", "b", "c", "z"}) {
      const std::string domain = *name == 'z' ? "y" : "x";
      const PeerIdentity identity{"m", name, domain, 7, ""};
      wires_[name] = std::make_unique<Wire>(identity, name, addresses_);
      limits_[name] =
          MakeCustomerLimits({identity, name, domains},
                             {*wires_[name], routes_, clock_, *metrics_});
      addresses_[name] = limits_[name].get();
    }
  }

  void Publish(uint32_t rate) {
    auto version = std::make_shared<ConfigVersion>();
    version->number = ++version_;
    if (rate > 0) customer_ = {"north", {}, {}, rate, rate};
    if (rate > 0) version->document.customers["north"] = customer_;
    std::vector<InstanceRecord> records;
    for (const auto& [name, limits] : limits_) {
      if (name == "z" && !z_known_) continue;
      InstanceRecord record;
      record.instance = record.request_address = name;
      record.failure_domain = name == "z" ? "y" : "x";
      records.push_back(record);
    }
    routes_.Publish(std::make_shared<const RouteTable>(version, records));
  }

  void Run(Duration time) {
    for (const Instant end = clock_.Now() + time; clock_.Now() < end;
         clock_.at += 10ms) {
      for (const auto& [name, limits] : limits_) limits->OnTick({});
    }
  }

  /// @return how many of so many requests in a second pass.
  int Pass(const std::string& daemon, int requests) {
    int passed = 0;
    for (int i = 0; i < 100; ++i) {
      for (int k = i * requests / 100; k < (i + 1) * requests / 100; ++k) {
        const auto wait = limits_[daemon]->Take(customer_, {});
        passed += wait.has_value() ? 0 : 1;
        if (wait.has_value()) last_wait_ = *wait;
      }
      Run(10ms);
    }
    return passed;
  }

  std::string Coordinator() {
    return limits_["a"]->StatusOf("north").coordinator;
  }

  int Sent() const {
    int sent = 0;
    for (const auto& [name, wire] : wires_) sent += wire->sent;
    return sent;
  }

  TestClock clock_;
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  RouteTableHolder routes_;
  Wire::Daemons addresses_;
  std::map<std::string, std::unique_ptr<Wire>> wires_;
  std::map<std::string, std::unique_ptr<CustomerLimits>> limits_;
  CustomerConfig customer_;
  uint64_t version_ = 0;
  bool z_known_ = true;  ///< The daemon of domain y is known.
  Duration last_wait_{};
};

TEST_F(LimitsOfAMesh, WithoutACustomerWithALimitNothingIsSent) {
  Publish(0);
  Run(3s);
  EXPECT_EQ(Sent(), 0);
  EXPECT_FALSE(limits_["a"]->Take({"south", {}, {}, 0, 0}, {}).has_value());
  EXPECT_FALSE(limits_["a"]->StatusOf("south").limited);
}

TEST_F(LimitsOfAMesh, OneDaemonMayUseItsDomainsWholeShare) {
  Publish(200);
  Run(1s);
  EXPECT_EQ(Pass("a", 90), 90);
  EXPECT_EQ(Pass("b", 90), 90);
  EXPECT_EQ(last_wait_, Duration{});
}

TEST_F(LimitsOfAMesh, ABurstWithinADaemonsPartPassesBeforeAnyReport) {
  Publish(200);
  Run(1s);
  for (int i = 0; i < 40; ++i) {
    EXPECT_FALSE(limits_["b"]->Take(customer_, {}).has_value()) << i;
  }
}

TEST_F(LimitsOfAMesh, BeyondItACallerHearsWhenToReturn) {
  Publish(200);
  Run(1s);
  int passed = Pass("a", 600);
  EXPECT_LT(passed, 250);
  passed = Pass("b", 600);
  EXPECT_GE(passed, 80);
  EXPECT_LE(passed, 120);
  EXPECT_GE(last_wait_, 100ms);
  EXPECT_LE(last_wait_, 10s);
  const LimitStatus status = limits_[Coordinator()]->StatusOf("north");
  EXPECT_TRUE(status.tight);
  EXPECT_EQ(status.daemons_heard, 3U);
  EXPECT_GE(status.used_in_domain, 300U);
  // What comes in between two reports.
  EXPECT_LT(status.level.value(), status.domain_capacity / 4);
}

// Guards against a change of a limit that gives the window again.
TEST_F(LimitsOfAMesh, AVersionThatLowersALimitGivesNothingBack) {
  Publish(200);
  Run(1s);
  Pass("a", 600);
  for (uint32_t rate : {199U, 198U, 200U, 199U}) {
    Publish(rate);
    EXPECT_LE(Pass("a", 600), 110) << rate;
  }
}

TEST_F(LimitsOfAMesh, ADomainsUseIsNoneOfAnothersMatter) {
  Publish(200);
  Run(1s);
  Pass("a", 600);
  EXPECT_EQ(Pass("z", 90), 90);
}

TEST_F(LimitsOfAMesh, WhatWasNotRunIsGivenBack) {
  Publish(200);
  Run(1s);
  for (int second = 0; second < 10; ++second) {
    EXPECT_EQ(Pass("a", 120), 120) << second;
    for (int i = 0; i < 60; ++i) limits_["a"]->GiveBack("north", {}, {});
  }
}

TEST_F(LimitsOfAMesh, ASilentCoordinatorIsReplacedByTheNext) {
  Publish(200);
  Run(1s);
  const std::string first = Coordinator();
  const std::string daemon = first == "a" ? "b" : "a";
  wires_[first]->cut = true;
  Run(2500ms);
  const LimitStatus status = limits_[daemon]->StatusOf("north");
  EXPECT_NE(status.coordinator, first);
  EXPECT_TRUE(status.contact_age.has_value());
  EXPECT_EQ(Pass(daemon, 60), 60);
}

TEST_F(LimitsOfAMesh, WithoutItsCoordinatorADaemonHasItsSafeShare) {
  Publish(200);
  Run(1s);
  const std::string first = Coordinator();
  const std::string daemon = first == "a" ? "b" : "a";
  wires_[daemon]->cut = true;
  Run(2s);
  // A third of the share of 100 a second and of the burst.
  const int passed = Pass(daemon, 300);
  EXPECT_GE(passed, 33);
  EXPECT_LE(passed, 100);
  EXPECT_EQ(Pass(first, 60), 60);
}

class LimitsOfAMeshThatFindsItsDomains : public LimitsOfAMesh {
 protected:
  LimitsOfAMeshThatFindsItsDomains() : LimitsOfAMesh({}) {}
};

// Guards against a failure domain that is found and lost and so gives the
// window again.
TEST_F(LimitsOfAMeshThatFindsItsDomains, AnotherNumberOfThemGivesNothingBack) {
  constexpr int kAllowed = (5 * 200 + 200) * 11 / 10 + 20;
  std::deque<int> window;
  z_known_ = false;
  Publish(200);
  Run(1s);
  for (int second = 0; second < 12; ++second) {
    window.push_back(Pass("a", 600));
    if (window.size() > 5) window.pop_front();
    EXPECT_LE(std::accumulate(window.begin(), window.end(), 0), kAllowed);
    z_known_ = !z_known_;
    Publish(200);
  }
}

}  // namespace
}  // namespace hibiscusglade
