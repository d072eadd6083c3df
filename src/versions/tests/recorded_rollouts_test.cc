#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "rollouts/rollout_codec.h"
#include "versions/version_ledger.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr int kOk = 0;
constexpr int kInProgress = static_cast<int>(VersionsCode::kRolloutInProgress);
constexpr int kInvalid = static_cast<int>(VersionsCode::kInvalidRollout);
constexpr int kOutdated = static_cast<int>(VersionsCode::kRolloutStepOutdated);

class ALedgerOfRollouts : public testing::Test {
 protected:
  int Send(const Rollout& state, bool is_order) {
    wire::PatchCommand command;
    ToWire(state, *command.mutable_rollout()->mutable_state());
    command.mutable_rollout()->set_is_order(is_order);
    command.set_proposed_at(static_cast<uint64_t>(now_ms_) * 1000);
    wire::PatchVerdict verdict;
    verdict.ParseFromString(ledger_.Apply(command.SerializeAsString()));
    faults_ = verdict.faults_size();
    return verdict.code();
  }
  int Order(const std::string& target, seconds duration = seconds(12),
            const std::string& service = "orders") {
    Rollout order;
    order.service = service;
    order.target_version = target;
    order.duration = duration;
    return Send(order, true);
  }
  int Step(uint32_t share, RolloutStage stage = RolloutStage::kRunning,
           bool closes = false) {
    Rollout next = Now();
    ++next.step;
    next.share_permille = share;
    next.stage = stage;
    next.closes_others = closes;
    next.reason = "a test's";
    return Send(next, false);
  }
  Rollout Now() const { return ledger_.Rollouts().rollouts.at("orders"); }

  VersionLedger ledger_{[](const ConfigVersionPtr&) {}};
  int64_t now_ms_ = 1'000'000;
  int faults_ = 0;
};

TEST_F(ALedgerOfRollouts, BeginsAnOrderWithNoShare) {
  EXPECT_EQ(Order("v2"), kOk);
  EXPECT_EQ(Now().stage, RolloutStage::kRunning);
  EXPECT_EQ(Now().share_permille, 0u);
  EXPECT_EQ(Now().ordered_at_ms, now_ms_);
}

TEST_F(ALedgerOfRollouts, AcknowledgesAResentOrderWithoutBeginningAnew) {
  Order("v2");
  Step(40);
  EXPECT_EQ(Order("v2"), kOk);
  EXPECT_EQ(Now().share_permille, 40u);
  Step(0, RolloutStage::kRolledBack);
  EXPECT_EQ(Order("v2"), kOk);
  EXPECT_EQ(Now().stage, RolloutStage::kRolledBack);
}

TEST_F(ALedgerOfRollouts, RefusesAnotherOrderWhileOneRuns) {
  Order("v2");
  EXPECT_EQ(Order("v3"), kInProgress);
  EXPECT_EQ(Order("v2", seconds(13)), kInProgress);
  EXPECT_EQ(Order("v3", seconds(12), "payments"), kOk);
  EXPECT_EQ(Now().target_version, "v2");
}

TEST_F(ALedgerOfRollouts, BeginsAnewOnceTheLastOrderHasEnded) {
  Order("v2");
  Step(0, RolloutStage::kRolledBack);
  const uint64_t first = Now().order;
  EXPECT_EQ(Order("v3"), kOk);
  EXPECT_GT(Now().order, first);
  EXPECT_EQ(Now().step, 0u);
  Step(0, RolloutStage::kRolledBack);
  now_ms_ += 3'600'000;
  EXPECT_EQ(Order("v3"), kOk);
  EXPECT_EQ(Now().stage, RolloutStage::kRunning);
}

TEST_F(ALedgerOfRollouts, NamesEachFaultOfAnOrder) {
  EXPECT_EQ(Order("", seconds(0), ""), kInvalid);
  EXPECT_EQ(faults_, 3);
  EXPECT_EQ(Order("v2", seconds(86401)), kInvalid);
  EXPECT_EQ(Order("v2", seconds(86400)), kOk);
}

TEST_F(ALedgerOfRollouts, TakesOnlyTheNextStepOfTheOrderThatRuns) {
  Order("v2");
  const Rollout stale = Now();
  EXPECT_EQ(Step(40), kOk);
  Rollout repeated = stale;
  repeated.step = 1;
  repeated.share_permille = 500;
  EXPECT_EQ(Send(repeated, false), kOutdated);
  repeated.step = 3;
  EXPECT_EQ(Send(repeated, false), kOutdated);
  repeated.step = 2;
  repeated.order += 1;
  EXPECT_EQ(Send(repeated, false), kOutdated);
  EXPECT_EQ(Now().share_permille, 40u);
}

TEST_F(ALedgerOfRollouts, CompletesOnlyWhatHasClosedTheOthers) {
  Order("v2");
  EXPECT_EQ(Step(1000, RolloutStage::kCompleted), kOutdated);
  EXPECT_EQ(Step(1000, RolloutStage::kRunning, true), kOk);
  EXPECT_EQ(Step(1000, RolloutStage::kCompleted, true), kOk);
  EXPECT_EQ(Step(0, RolloutStage::kRolledBack), kOutdated);
  EXPECT_EQ(Now().stage, RolloutStage::kCompleted);
}

TEST_F(ALedgerOfRollouts, KeepsThemInASnapshotAndTellsThemToReaders) {
  Order("v2");
  Step(40);
  VersionLedger other{[](const ConfigVersionPtr&) {}};
  ASSERT_TRUE(other.Restore(ledger_.Snapshot()));
  EXPECT_EQ(other.Rollouts(), ledger_.Rollouts());
  wire::VersionQuery query;
  query.set_kind(wire::VersionQuery::LATEST_NUMBER);
  wire::VersionQueryAnswer answer;
  answer.ParseFromString(other.Read(query.SerializeAsString()));
  EXPECT_EQ(FromWire(answer.rollouts()), ledger_.Rollouts());
  query.set_rollout_revision(ledger_.Rollouts().revision);
  answer.ParseFromString(other.Read(query.SerializeAsString()));
  EXPECT_EQ(answer.rollouts().states_size(), 0);
}

/// Two leaders that send what they like, in any order.
RC_GTEST_FIXTURE_PROP(ALedgerOfRollouts, GivesOneVerdictAndNoStepBack, ()) {
  Order("v2");
  const auto sent = *rc::gen::container<std::vector<std::vector<uint32_t>>>(
      rc::gen::container<std::vector<uint32_t>>(
          4, rc::gen::inRange<uint32_t>(0, 6)));
  Rollout last = Now();
  for (const std::vector<uint32_t>& in : sent) {
    Rollout step = Now();
    step.step = in[0];
    step.stage = static_cast<RolloutStage>(in[1]);
    step.share_permille = in[2] * 200;
    step.closes_others = in[3] > 2;
    const bool recorded = Send(step, false) == kOk;
    const Rollout now = Now();
    if (!recorded) RC_ASSERT(now == last);
    RC_ASSERT(now == last || now.step == last.step + 1);
    if (last.stage != RolloutStage::kRunning) RC_ASSERT(now == last);
    if (now.stage == RolloutStage::kCompleted && now.step != last.step) {
      RC_ASSERT(last.closes_others);
    }
    last = now;
  }
}

}  // namespace
}  // namespace hibiscusglade
