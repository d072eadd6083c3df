#include <gtest/gtest.h>

#include "admission/admission_result_codes.h"
#include "admission/call_trees.h"
#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

/// One slot, busy. Callers of "short" are beside the instances of two services;
/// only upstreams of "catalogue" ask for "check".
class AnOwnerCalledByUpstreams : public testing::Test {
 protected:
  AnOwnerCalledByUpstreams() {
    for (int i = 0; i < 60; ++i) {
      Start("short", i % 2 == 0 ? "catalogue" : "orders");
      Start("check", "catalogue");
      RunAll();
    }
  }

  AttemptId Start(const std::string& request_class, const std::string& origin,
                  const std::string& customer = "", uint32_t depth = 0) {
    CallAttempt call;
    call.id = request_class + "-" + std::to_string(++last_);
    call.request.target = "/" + call.id;
    call.request.origin_service = origin;
    call.request.customer = customer;
    call.request.depth = depth;
    call.service = "orders";
    call.request_class = request_class;
    call.repeatable = true;
    call.remaining = std::chrono::seconds(2);
    call.credit_bytes = 1000;
    harness_.owner->OnStart("entry", call, harness_.clock.now);
    return call.id;
  }

  /// Ends the run that has the slot.
  /// @return the attempt that has it next.
  AttemptId RunNext(int status = 200) {
    auto& started = harness_.recorder.started;
    const RunId run = started.begin()->first;
    started.erase(run);
    harness_.owner->OnRunHead(run, {status, {}, 0}, harness_.clock.now);
    harness_.owner->OnRunEnd(run, harness_.clock.now);
    return started.empty() ? "" : started.begin()->second.id;
  }

  void RunAll() {
    while (!harness_.recorder.started.empty()) {
      harness_.clock.now += std::chrono::milliseconds(20);
      RunNext();
    }
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o", ledger_, 1};
  int last_ = 0;
};

TEST_F(AnOwnerCalledByUpstreams, RunsTheirCallsBeforeNewWork) {
  Start("short", "orders");
  Start("short", "orders");
  const AttemptId call = Start("check", "catalogue");
  EXPECT_EQ(RunNext(), call);
}

TEST_F(AnOwnerCalledByUpstreams, RunsCallsWithADepthBeforeNewWork) {
  Start("short", "orders");
  Start("short", "orders");
  const AttemptId call = Start("short", "orders", "", 1);
  EXPECT_EQ(RunNext(), call);
}

TEST_F(AnOwnerCalledByUpstreams, TakesWhoNamesACustomerForNewWork) {
  Start("short", "orders");
  const AttemptId first = Start("short", "orders");
  Start("check", "catalogue", "mercado");
  EXPECT_EQ(RunNext(), first);
}

TEST_F(AnOwnerCalledByUpstreams, TellsEntriesWhichClassesAreCalls) {
  const AttemptId call = Start("check", "catalogue");
  harness_.owner->Drain(harness_.clock.now);
  Start("check", "catalogue");
  EXPECT_TRUE(harness_.recorder.load.begun_work);
  Start("short", "orders");
  EXPECT_FALSE(harness_.recorder.load.begun_work);
}

/// The upstream's own calls are refused, so that all it runs is in vain.
TEST(AnOwnerWhoseUpstreamsCallsAreRefused, RefusesNewWorkBeforeItTakesASlot) {
  ClaimLedger ledger;
  const auto trees = MakeCallTrees();
  OwnerHarness harness("o", ledger, 2, 0, trees.get());
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    harness.clock.now += std::chrono::milliseconds(20);
    harness.Start(id, "", true);
    if (harness.recorder.started.empty()) {
      EXPECT_EQ(harness.recorder.refused.at(id), Certainty::kNotRun);
      EXPECT_GT(harness.recorder.retry_after.at(id), Duration{});
      ++refused;
      continue;
    }
    harness.clock.now += std::chrono::milliseconds(20);
    trees->OnCallRefused(harness.clock.now);
    const RunId run = harness.recorder.started.begin()->first;
    harness.recorder.started.clear();
    harness.owner->OnRunHead(run, {500, {}, 0}, harness.clock.now);
    harness.owner->OnRunEnd(run, harness.clock.now);
  }
  EXPECT_GT(refused, 100);
  EXPECT_LT(refused, 150);
}

}  // namespace
}  // namespace hibiscusglade
