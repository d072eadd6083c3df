#include <gtest/gtest.h>

#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

class AnOwnerOfTwoCustomersOrders : public testing::Test {
 protected:
  /// Sends an order with the same key and body, whoever it is from.
  void Start(const std::string& attempt, const std::string& customer) {
    CallAttempt call;
    call.id = attempt;
    call.request.method = "POST";
    call.request.target = "/deposits";
    call.request.idempotency_key = "k1";
    call.request.customer = customer;
    call.service = "orders";
    call.request_class = "short";
    call.remaining = std::chrono::seconds(2);
    call.credit_bytes = 1000;
    harness_.owner->OnStart("entry", call, harness_.clock.now);
    DeliverAll();
  }
  void DeliverAll() {
    while (!harness_.store.pending.empty()) {
      harness_.store.DeliverNext(Delivery::kAnswered);
    }
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o", ledger_};
};

// Guards against one customer's answer for another that uses the same key.
TEST_F(AnOwnerOfTwoCustomersOrders, RepeatsAnAnswerToItsCustomerOnly) {
  Start("a1", "north");
  ASSERT_EQ(harness_.recorder.started.size(), 1U);
  harness_.Answer(harness_.recorder.started.begin()->first, "north's");
  DeliverAll();
  Start("a2", "north");
  EXPECT_TRUE(harness_.recorder.started.empty());
  EXPECT_NE(harness_.recorder.log.find("a2 end after 7 bytes"),
            std::string::npos)
      << harness_.recorder.log;
  Start("a3", "south");
  EXPECT_EQ(harness_.recorder.started.size(), 1U);
}

}  // namespace
}  // namespace hibiscusglade
