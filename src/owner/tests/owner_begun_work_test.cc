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
class AnOwnerWhoseUpstreamsCallsAreRefused : public testing::Test {
 protected:
  /// Runs end after each so many requests.
  /// @return how many of a hundred were refused.
  int Refused(int at_a_time) {
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
      harness_.clock.now += std::chrono::milliseconds(10);
      const std::string id = std::to_string(++last_);
      harness_.Start(id, "", true);
      if (harness_.recorder.refused.contains(id)) {
        EXPECT_EQ(harness_.recorder.refused.at(id), Certainty::kNotRun);
        EXPECT_GT(harness_.recorder.retry_after.at(id), Duration{});
        ++refused;
      }
      if (i % at_a_time == 0) EndRunsInVain();
    }
    return refused;
  }

  void EndRunsInVain() {
    harness_.clock.now += std::chrono::milliseconds(20);
    trees_->OnCallRefused(harness_.clock.now);
    const auto started = harness_.recorder.started;
    for (const auto& [run, attempt] : started) {
      harness_.recorder.started.erase(run);
      harness_.owner->OnRunHead(run, {500, {}, 0}, harness_.clock.now);
      harness_.owner->OnRunEnd(run, harness_.clock.now);
    }
  }

  ClaimLedger ledger_;
  std::unique_ptr<CallTrees> trees_ = MakeCallTrees();
  OwnerHarness harness_{"o", ledger_, 4, 0, trees_.get()};
  int last_ = 0;
};

TEST_F(AnOwnerWhoseUpstreamsCallsAreRefused, RefusesNewWorkThatWouldWait) {
  Refused(8);
  EXPECT_GT(Refused(8), 25);
}

TEST_F(AnOwnerWhoseUpstreamsCallsAreRefused, RefusesNothingWhileSlotsAreFree) {
  Refused(8);
  EndRunsInVain();
  EndRunsInVain();
  EXPECT_EQ(Refused(1), 0);
}

}  // namespace
}  // namespace hibiscusglade
