#include "flows/domain_flows.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <set>

#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kRun = milliseconds(50);
constexpr uint32_t kSlots = 6;  ///< So 120 requests/s an upstream.

/// Daemons of three failure domains, with messages but without a network. Calls
/// that no slot takes are lost.
class AMeshOfThreeDomains : public testing::Test {
 protected:
  struct Daemon {
    std::string instance;
    std::string domain;
    bool has_upstream = false;
    double rate = 0;  ///< Calls/s of its callers.
    double calls_due = 0;
    double load = 0;  ///< Requests/s that arrive, smoothed.
    double completed = 0;
    std::unique_ptr<FlowRouter> router;
    std::unique_ptr<RequestPart> part;
  };

  AMeshOfThreeDomains() {
    for (const char* domain : {"a", "b", "c"}) {
      for (int i = 0; i < 4; ++i) Add(domain, i);
    }
    ConfigVersion version;
    version.number = 1;
    version.document.services["store"] = {};
    RouteConfig route;
    route.service = "store";
    route.objective = milliseconds(500);
    version.document.routes["store"] = route;
    routes_.Publish(std::make_shared<const RouteTable>(
        std::make_shared<const ConfigVersion>(version), Records()));
  }

  /// @param upstreams of the four daemons of the domain that have one.
  void Set(const std::string& domain, double rate, int upstreams) {
    for (auto& [address, daemon] : daemons_) {
      if (daemon.domain != domain) continue;
      daemon.rate = rate / 4;
      daemon.has_upstream = upstreams-- > 0;
    }
  }

  void Run(Duration time) {
    sent_ = served_ = outside_ = 0;
    bytes_ = 0;
    for (const Instant end = now_ + time; now_ < end; now_ += kStep) Step();
    seconds_ = std::chrono::duration<double>(time).count();
  }

  double Served() const { return served_ / sent_; }

  /// Messages to and from other domains get lost.
  std::set<std::string> cut_;
  double lost_share_ = 0;
  std::function<void(wire::Envelope&)> distort_ = [](wire::Envelope&) {};
  Instant now_ = Instant(seconds(1000));
  std::map<std::string, Daemon> daemons_;  ///< By request address.
  double sent_ = 0;
  double served_ = 0;
  double outside_ = 0;  ///< Calls of domain a that left it.
  size_t bytes_ = 0;
  double seconds_ = 0;

 private:
  void Add(const std::string& domain, int i) {
    const std::string instance = domain + std::to_string(i);
    Daemon& daemon = daemons_["at-" + instance];
    daemon.instance = instance;
    daemon.domain = domain;
    daemon.router = std::make_unique<FlowRouter>(daemons_.size());
    daemon.part = MakeDomainFlows(
        {instance, domain},
        {[this, &daemon](const std::string& to, wire::Envelope& message) {
           Deliver(daemon, to, message);
         },
         routes_, *daemon.router, [&daemon] { return ActivityOf(daemon); },
         *metrics_});
  }

  std::vector<InstanceRecord> Records() const {
    std::vector<InstanceRecord> records;
    for (const auto& [address, daemon] : daemons_) {
      InstanceRecord record;
      record.instance = daemon.instance;
      record.failure_domain = daemon.domain;
      record.request_address = address;
      records.push_back(record);
    }
    return records;
  }

  static UpstreamActivity ActivityOf(const Daemon& daemon) {
    if (!daemon.has_upstream) return {};
    const double busy =
        daemon.load * std::chrono::duration<double>(kRun).count();
    return {"store", kSlots,
            std::min(kSlots, static_cast<uint32_t>(std::lround(busy))),
            static_cast<uint64_t>(daemon.completed)};
  }

  void Deliver(const Daemon& from, const std::string& to,
               wire::Envelope& message) {
    message.set_instance(from.instance);
    message.set_failure_domain(from.domain);
    bytes_ += message.ByteSizeLong();
    const Daemon& receiver = daemons_.at(to);
    const bool crosses = receiver.domain != from.domain;
    if (crosses &&
        (cut_.contains(from.domain) || cut_.contains(receiver.domain)))
      return;
    if (random_.Fraction() < lost_share_) return;
    distort_(message);
    inbox_.emplace_back(to, message);
  }

  void Step() {
    std::map<std::string, double> arriving;
    for (auto& [address, daemon] : daemons_) {
      daemon.calls_due += daemon.rate * 0.01;
      for (; daemon.calls_due >= 1; daemon.calls_due -= 1) {
        daemon.router->OnCall("store", 100);
        std::string to = daemon.router->NextDomain("store", now_);
        if (to.empty()) to = daemon.domain;
        if (daemon.domain == "a" && to != "a") outside_ += 1;
        ++sent_;
        const bool unreachable =
            to != daemon.domain &&
            (cut_.contains(to) || cut_.contains(daemon.domain));
        if (!unreachable) arriving[to] += 1;
      }
    }
    for (const auto& domain : {"a", "b", "c"}) Serve(domain, arriving[domain]);
    for (auto& [address, daemon] : daemons_) daemon.part->OnTick(now_);
    for (const auto& [to, message] : std::exchange(inbox_, {})) {
      daemons_.at(to).part->OnPeerMessage("", "", message, now_);
    }
  }

  void Serve(const std::string& domain, double calls) {
    double upstreams = 0;
    for (auto& [address, daemon] : daemons_) {
      if (daemon.domain == domain && daemon.has_upstream) ++upstreams;
    }
    double& load = loads_[domain];
    load += 0.05 * (calls * 100 - load);
    const double capacity = upstreams * 120;
    served_ += std::min(load, capacity) * 0.01;
    for (auto& [address, daemon] : daemons_) {
      if (daemon.domain != domain) continue;
      if (load > 0.6 * capacity) daemon.router->OnPressure("store", now_);
      if (!daemon.has_upstream) continue;
      daemon.load = load / upstreams;
      daemon.completed += std::min(daemon.load, 120.0) * 0.01;
    }
  }

  RouteTableHolder routes_;
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  Random random_{3};
  std::map<std::string, double> loads_;
  std::vector<std::pair<std::string, wire::Envelope>> inbox_;
};

TEST_F(AMeshOfThreeDomains, SendsNoMessageWhileUpstreamsSuffice) {
  for (const char* domain : {"a", "b", "c"}) Set(domain, 200, 4);
  Run(seconds(10));
  EXPECT_EQ(bytes_, 0U);
  EXPECT_EQ(outside_, 0);
}

TEST_F(AMeshOfThreeDomains, ServesTheDomainOfMostDemandFromTheRoomOfOthers) {
  Set("a", 360, 2);
  Set("b", 160, 4);
  Set("c", 200, 3);
  Run(seconds(6));
  Run(seconds(10));
  EXPECT_GT(Served(), 0.97);
  EXPECT_NEAR(outside_ / seconds_, 360 - 0.9 * 240, 25);
  EXPECT_LT(static_cast<double>(bytes_) / seconds_ / 12, 1000)
      << "bytes/s of a daemon";
}

TEST_F(AMeshOfThreeDomains, StopsSendingOnceTheDomainSuffices) {
  Set("a", 360, 2);
  Set("b", 100, 4);
  Set("c", 100, 4);
  Run(seconds(6));
  Set("a", 360, 4);
  Run(seconds(5));
  Run(seconds(5));
  EXPECT_EQ(outside_, 0);
}

TEST_F(AMeshOfThreeDomains, KeepsWorkHomeDuringACutAndSendsAgainAfterIt) {
  Set("a", 360, 2);
  Set("b", 100, 4);
  Set("c", 100, 4);
  Run(seconds(6));
  EXPECT_GT(outside_, 0);
  cut_ = {"a"};
  Run(seconds(3));
  Run(seconds(5));
  EXPECT_EQ(outside_, 0);
  cut_ = {};
  Run(seconds(4));
  Run(seconds(5));
  EXPECT_GT(Served(), 0.97);
}

TEST_F(AMeshOfThreeDomains, ServesMostThoughAThirdOfTheReportsIsLost) {
  Set("a", 360, 2);
  Set("b", 100, 4);
  Set("c", 100, 4);
  lost_share_ = 0.33;
  Run(seconds(8));
  Run(seconds(20));
  EXPECT_GT(Served(), 0.93);
}

TEST_F(AMeshOfThreeDomains, IgnoresADomainWhoseFiguresAreImpossible) {
  Set("a", 360, 2);
  Set("b", 100, 4);
  Set("c", 100, 4);
  distort_ = [](wire::Envelope& message) {
    if (message.failure_domain() != "b" || !message.has_room_report()) return;
    for (auto& service : *message.mutable_room_report()->mutable_services()) {
      service.set_demand(-5);
      service.set_capacity(std::numeric_limits<float>::quiet_NaN());
    }
  };
  Run(seconds(6));
  Run(seconds(10));
  EXPECT_GT(Served(), 0.97) << "by c alone";
}

TEST_F(AMeshOfThreeDomains, GoesOnWhenAnUpstreamIsLostAmidAShortage) {
  Set("a", 360, 3);
  Set("b", 100, 4);
  Set("c", 100, 4);
  Run(seconds(6));
  Set("a", 360, 2);
  Run(seconds(5));
  Run(seconds(5));
  EXPECT_GT(Served(), 0.97);
}

}  // namespace
}  // namespace hibiscusglade
