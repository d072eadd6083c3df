#include <gtest/gtest.h>

#include <algorithm>

#include "admission/admission_result_codes.h"
#include "admission/internal/customer_turns.h"
#include "admission/tests/replay.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

AdmissionConfig TwoSlots() {
  AdmissionConfig config{2, 64, {}, {}};
  config.classes["order"] = {"order", 0, 100, milliseconds(500), 5};
  return config;
}

Arrivals OrdersOf(const std::string& customer, int interval_ms) {
  return {
      "order", milliseconds(100), milliseconds(500), milliseconds(interval_ms),
      false,   customer};
}

/// Two slots complete 20 orders of 100 ms in a second.
class AnUpstreamForSeveralCustomers : public testing::Test, public Replay {
 protected:
  AnUpstreamForSeveralCustomers() : Replay(TwoSlots()) {}
};

TEST_F(AnUpstreamForSeveralCustomers, LimitsASurgeToItsShare) {
  // "hot" asks for 40 in a second, the three others for 4 each.
  Play({OrdersOf("a", 250), OrdersOf("hot", 25), OrdersOf("b", 249),
        OrdersOf("c", 251)},
       std::chrono::seconds(20));
  for (const char* name : {"a", "b", "c"}) {
    EXPECT_GT(Of(name).Share(), 0.97) << name;
  }
  EXPECT_GT(Of("hot").started, 20 * 7);
}

TEST_F(AnUpstreamForSeveralCustomers, SharesEquallyWhatAllWantMoreOf) {
  Play({OrdersOf("hot", 20), OrdersOf("warm", 60)}, std::chrono::seconds(20));
  EXPECT_NEAR(Of("warm").started, Of("hot").started, 20);
}

TEST_F(AnUpstreamForSeveralCustomers, NeverRefusesOneThatSeldomAsks) {
  Play({OrdersOf("a", 30), OrdersOf("b", 31), OrdersOf("seldom", 2003),
        OrdersOf("c", 32), OrdersOf("d", 33)},
       std::chrono::seconds(60));
  EXPECT_EQ(Of("seldom").started, Of("seldom").asked);
}

TEST(AFullQueue, ShedsFromTheCustomerThatHoldsMostThoughCallersDiffer) {
  const Instant now{std::chrono::seconds(1000)};
  AdmissionConfig config = TwoSlots();
  config.max_queue = 3;
  auto admission = MakeAdmission();
  admission->Configure(config, now);
  const auto request = [&](SlotRequestId id, const std::string& customer) {
    SlotRequest asked{id,
                      "order",
                      "address " + std::to_string(id),
                      now + std::chrono::seconds(2),
                      {}};
    asked.customer = customer;
    return admission->OnRequest(asked, now);
  };
  for (SlotRequestId id = 1; id <= 5; ++id) request(id, "hot");
  const AdmissionEffects effects = request(6, "modest");
  ASSERT_EQ(effects.refused.size(), 1u);
  EXPECT_EQ(effects.refused[0],
            (SlotRefusal{5, AdmissionCode::kShed, milliseconds(10)}));
}

TEST(TurnsOfCustomers, RememberOnlyTheLatestRound) {
  CustomerTurns turns;
  for (int i = 0; i < 1000; ++i) turns.OnStarted(std::to_string(i));
  EXPECT_EQ(turns.Customers(), 1000u);
  turns.OnStarted("0");
  EXPECT_EQ(turns.Customers(), 1u);
  EXPECT_GT(turns.RoundOf("0"), turns.RoundOf("1"));
}

}  // namespace
}  // namespace hibiscusglade
