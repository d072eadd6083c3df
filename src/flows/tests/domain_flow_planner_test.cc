#include "flows/domain_flow_planner.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <limits>
#include <numbers>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRound = milliseconds(500);

/// The planners of failure domains a, b and c, which see each other's figures.
class ThreeDomains : public testing::Test {
 protected:
  void Set(const std::string& domain, double demand, double capacity,
           double bytes = 1000) {
    rooms_[domain] = {demand, capacity, bytes, now_, {}};
  }

  std::optional<FlowPlan> Plan(const std::string& domain,
                               Duration objective = milliseconds(500)) {
    return planners_.at(domain)->Plan("store", rooms_, objective, now_);
  }

  /// Plans until damping has ended, with the same figures.
  std::optional<FlowPlan> Settle(const std::string& domain) {
    std::optional<FlowPlan> plan;
    for (int i = 0; i < 12; ++i) plan = Plan(domain);
    return plan;
  }

  /// @return requests/s that the domain sends outside.
  double Sent(const std::string& domain) {
    const auto plan = Settle(domain);
    return plan.has_value() ? plan->Outside() * rooms_[domain].demand : 0;
  }

  static std::unique_ptr<DomainFlowPlanner> PlannerOf(const char* domain) {
    return MakeDomainFlowPlanner(domain);
  }

  Instant now_ = Instant(seconds(1000));
  RoomByDomain rooms_;
  std::map<std::string, std::unique_ptr<DomainFlowPlanner>> planners_ = [] {
    std::map<std::string, std::unique_ptr<DomainFlowPlanner>> planners;
    for (const char* name : {"a", "b", "c"}) planners[name] = PlannerOf(name);
    return planners;
  }();
};

TEST_F(ThreeDomains, SendNothingWhileEachSuffices) {
  for (const char* domain : {"a", "b", "c"}) Set(domain, 80, 100);
  EXPECT_FALSE(Plan("a").has_value());
  EXPECT_EQ(planners_["a"]->OwnPressure("store"), Pressure::kNearFull);
  Set("a", 50, 100);
  EXPECT_FALSE(Plan("a").has_value());
  EXPECT_EQ(planners_["a"]->OwnPressure("store"), Pressure::kSuffices);
}

TEST_F(ThreeDomains, ServeTheDomainOfMostDemandWithTwoOfNineUpstreams) {
  Set("a", 460, 200);
  Set("b", 180, 400);
  Set("c", 120, 300);
  EXPECT_NEAR(Sent("a"), 280, 15) << "all beyond 0.9 of its capacity";
  EXPECT_EQ(Sent("b"), 0);
  const FlowPlan plan = *Settle("a");
  EXPECT_GT(plan.flows.at("b").share, plan.flows.at("c").share);
  EXPECT_TRUE(plan.flows.at("b").has_room);
  EXPECT_LE(180 + plan.flows.at("b").share * 460, 400 * 0.91);
}

TEST_F(ThreeDomains, DivideWhatIsLeftWhenTwoAreShort) {
  Set("a", 300, 100);
  Set("b", 160, 100);
  Set("c", 20, 100);
  const double from_a = Sent("a");
  const double from_b = Sent("b");
  EXPECT_NEAR(from_a + from_b, 70, 6) << "c keeps what its own callers need";
  EXPECT_NEAR(from_a / from_b, 3, 0.5) << "in proportion to the need";
  EXPECT_FALSE(Settle("a")->flows.at("c").has_room);
  EXPECT_FALSE(Settle("a")->flows.contains("b"))
      << "a domain that is short itself takes nothing";
}

TEST_F(ThreeDomains, FillTheirOwnUpstreamsFurtherBeforeHeavyAnswersCross) {
  for (const char* domain : {"b", "c"}) Set(domain, 10, 100);
  Set("a", 98, 100, 1000);
  EXPECT_GT(Sent("a"), 0);
  Set("a", 98, 100, 90'000);
  EXPECT_EQ(Sent("a"), 0);
  Set("a", 120, 100, 90'000);
  EXPECT_NEAR(Sent("a"), 21, 3);
}

TEST_F(ThreeDomains, PreferTheNearerAndNeverMissTheObjectiveOnTheWay) {
  Set("a", 150, 100);
  for (const char* domain : {"b", "c"}) Set(domain, 10, 100);
  rooms_["b"].round_trip = milliseconds(60);
  rooms_["c"].round_trip = milliseconds(10);
  const FlowPlan plan = *Settle("a");
  EXPECT_GT(plan.flows.at("c").share, 0.3);
  EXPECT_EQ(plan.flows.at("b").share, 0);
  EXPECT_FALSE(Plan("a", milliseconds(100))->flows.contains("b"));
}

TEST_F(ThreeDomains, DontSwingOnAWaveWithReportsThatLag) {
  // Reports lag by up to a second and are off by a tenth.
  std::map<std::string, std::deque<ServiceRoom>> reports;
  std::map<std::string, double> last;
  std::map<std::string, int> direction;
  int reversals = 0;
  double beyond_capacity = 0;
  double demand_sum = 0;
  for (int round = 0; round < 240; ++round, now_ += kRound) {
    const double angle = round * 2 * std::numbers::pi / 120;
    const std::map<std::string, double> demand = {
        {"a", 280 * (1 + 0.5 * std::sin(angle))},
        {"b", 180 * (1 + 0.5 * std::sin(angle + 0.3))},
        {"c", 140 * (1 + 0.5 * std::sin(angle + 0.6))}};
    std::map<std::string, double> arriving = demand;
    const std::map<std::string, double> capacity = {
        {"a", 200}, {"b", 400}, {"c", 400}};
    for (const auto& [name, rate] : demand) {
      const double noise = 0.05 * std::sin(round * 7.0 + rate);
      reports[name].push_back({rate * (1 + noise),
                               capacity.at(name) * (1 - noise),
                               1000,
                               now_,
                               {}});
      if (reports[name].size() > 2) reports[name].pop_front();
    }
    for (const auto& [name, rate] : demand) {
      // The own figures are the newest, those of others are a round older.
      for (const auto& [other, known] : reports) {
        rooms_[other] = other == name ? known.back() : known.front();
      }
      const auto plan = Plan(name);
      const double share = plan.has_value() ? plan->Outside() : 0;
      const double change = share - last[name];
      if (std::abs(change) > 0.05) {
        const int now_direction = change > 0 ? 1 : -1;
        reversals += direction[name] == -now_direction ? 1 : 0;
        direction[name] = now_direction;
      }
      last[name] = share;
      if (!plan.has_value()) continue;
      for (const auto& [to, flow] : plan->flows) {
        arriving[name] -= flow.share * rate;
        arriving[to] += flow.share * rate;
      }
    }
    for (const auto& [name, rate] : arriving) {
      beyond_capacity += std::max(0.0, rate - capacity.at(name));
      demand_sum += demand.at(name);
    }
  }
  EXPECT_LE(reversals, 8) << "two waves, each up and down once a domain";
  EXPECT_LT(beyond_capacity, 0.03 * demand_sum);
}

TEST_F(ThreeDomains, StayAtHomeDuringACutAndSendAgainAfterIt) {
  Set("a", 150, 100);
  for (const char* domain : {"b", "c"}) Set(domain, 10, 100);
  EXPECT_NEAR(Sent("a"), 60, 5);
  for (int i = 0; i < 4; ++i) {
    now_ += kRound;
    Set("a", 150, 100);
    Plan("a");
  }
  EXPECT_TRUE(Plan("a")->flows.empty())
      << "nobody has said for 2 s that there is room";
  for (const char* domain : {"b", "c"}) Set(domain, 10, 100);
  EXPECT_LT(Plan("a")->Outside(), 0.25) << "it rises step by step";
  EXPECT_NEAR(Sent("a"), 60, 5);
}

TEST_F(ThreeDomains, IgnoreImpossibleFigures) {
  const double inf = std::numeric_limits<double>::infinity();
  for (const double wrong : {-1.0, std::nan(""), inf, 1e300}) {
    Set("a", 150, 100);
    Set("b", 10, wrong);
    Set("c", 10, 100);
    EXPECT_FALSE(Settle("a")->flows.contains("b")) << wrong;
    EXPECT_NEAR(Sent("a"), 60, 5) << wrong;
    Set("c", wrong, 100);
    EXPECT_TRUE(Settle("a")->flows.empty()) << wrong;
    Set("a", wrong, 100);
    EXPECT_FALSE(Plan("a").has_value()) << wrong;
  }
}

TEST_F(ThreeDomains, StopAtOnceWhenTheRoomThereIsGone) {
  Set("a", 150, 100);
  for (const char* domain : {"b", "c"}) Set(domain, 10, 100);
  EXPECT_NEAR(Sent("a"), 60, 5);
  for (const char* domain : {"b", "c"}) Set(domain, 99, 100);
  EXPECT_EQ(Plan("a")->Outside(), 0);
}

TEST(ACoordinator, PlansAllServicesOfALargeMeshWithinAFractionOfARound) {
  const auto planner = MakeDomainFlowPlanner("d0");
  const Instant now(seconds(1000));
  RoomByDomain rooms;
  for (int i = 0; i < 12; ++i) {
    rooms["d" + std::to_string(i)] = {i < 6 ? 150.0 : 20.0, 100, 1000, now, {}};
  }
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 230; ++i) {
    EXPECT_TRUE(planner->Plan("s" + std::to_string(i), rooms, {}, now));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - began, kRound / 5);
}

}  // namespace
}  // namespace hibiscusglade
