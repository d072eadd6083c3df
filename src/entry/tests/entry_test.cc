#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "admission/admission_result_codes.h"
#include "entry/tests/entry_fixture.h"
#include "routing/retry_budget.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Calls last seconds, in which many versions may be put in use.
TEST_F(AnEntry, KeepsNoReplacedVersionInMemoryForItsOpenCalls) {
  Begin("/reads/1");
  const std::weak_ptr<const RouteTable> replaced = routes_.Current();
  std::vector<SettingsFault> faults;
  routes_.Publish(std::make_shared<const RouteTable>(
      MakeConfigVersion(2, 1, "{}", "", faults),
      std::vector<InstanceRecord>()));
  EXPECT_TRUE(replaced.expired());
  // The call goes on by the version that it began with.
  Refuse(Attempt(0), AdmissionCode::kQueueFull, Certainty::kNotRun);
  ASSERT_EQ(owners_.started.size(), 2u);
  Answer(Attempt(1), "body");
  EXPECT_EQ(received_, "head 200 body end");
}

TEST_F(AnEntry, RetriesElsewhereWhatDidNotRun) {
  Begin("/tags/1");
  Refuse(Attempt(0), AdmissionCode::kQueueFull, Certainty::kNotRun);
  ASSERT_EQ(owners_.started.size(), 2u);
  EXPECT_NE(owners_.started[0].first, owners_.started[1].first);
  Answer(Attempt(1), "tag");
  EXPECT_EQ(received_, "head 200 tag end");
  EXPECT_EQ(CounterValue("retries_total{code=\"5003\"}"), 1);
}

TEST_F(AnEntry, NeverRetriesANonRepeatableRequestThatMayHaveRun) {
  Begin("/tags/1");
  entry_->OnOwnerLost(owners_.started[0].first, true, now_);
  EXPECT_EQ(owners_.started.size(), 1u);
  EXPECT_EQ(received_, "refused 4006 unknown");
  EXPECT_EQ(CounterValue("retries_denied_total{reason=\"not_repeatable\"}"), 1);
}

/// Attempts that were open when a link was lost failed for one reason.
TEST_F(AnEntry, CountsALostLinkAsOneFailureOfTheUpstream) {
  for (int i = 0; i < 30; ++i) Begin("/tags/1");
  for (int lost = 1; lost <= 5; ++lost) {
    ASSERT_GE(entry_->OpenAttempts("x").size(), 5u);
    entry_->OnOwnerLost("x", true, now_);
    now_ += milliseconds(100);
    for (int i = 0; i < 30; ++i) Begin("/tags/1");
    EXPECT_EQ(chooser_->Counts().ejections, lost < 5 ? 0u : 1u) << lost;
  }
}

/// Guards against a status of a faulty owner that reaches the caller.
TEST_F(AnEntry, TakesAHeadWithoutAStatusForNoAnswer) {
  for (int status : {0, -1, 20, 99, 100, 101, 199, 600, 999, 70000}) {
    Begin("/tags/1");
    entry_->OnAnswerHead(Attempt(0), {status, {}, -1}, kLoad, now_);
    EXPECT_EQ(received_, "refused 4007 unknown") << status;
    EXPECT_THAT(owners_.cancelled, testing::Contains(Attempt(0))) << status;
  }
  Begin("/reads/1");
  entry_->OnAnswerHead(Attempt(0), {0, {}, -1}, kLoad, now_);
  ASSERT_EQ(owners_.started.size(), 2u);
  Answer(Attempt(1), "body");
  EXPECT_EQ(received_, "head 200 body end");
}

TEST_F(AnEntry, ChargesAnUpstreamWithAHeadWithoutAStatus) {
  for (int i = 0; i < 30 && chooser_->Counts().ejections == 0; ++i) {
    Begin("/tags/1");
    if (owners_.started[0].first != "x") {
      Answer(Attempt(0), "tag");
    } else {
      entry_->OnAnswerHead(Attempt(0), {999, {}, -1}, kLoad, now_);
    }
    now_ += milliseconds(100);
  }
  EXPECT_EQ(chooser_->Counts().ejections, 1u);
}

TEST_F(AnEntry, SaysUnknownIfAnyAttemptMayHaveRun) {
  Begin("/reads/1");
  entry_->OnOwnerLost(owners_.started[0].first, true, now_);
  Refuse(Attempt(1), AdmissionCode::kQueueFull, Certainty::kNotRun);
  Refuse(Attempt(2), AdmissionCode::kQueueFull, Certainty::kNotRun);
  EXPECT_EQ(received_, "refused 4006 unknown");
}

TEST_F(AnEntry, PassesARefusalUpInADeepCall) {
  Begin("/reads/1", 3);
  Refuse(Attempt(0), AdmissionCode::kQueueFull, Certainty::kNotRun);
  EXPECT_EQ(received_, "refused 5003 not-run");
  Begin("/reads/1", 3);
  Refuse(Attempt(0), AdmissionCode::kDraining, Certainty::kNotRun);
  EXPECT_EQ(owners_.started.size(), 2u);
}

TEST_F(AnEntry, StopsRetryingWhenTheBudgetIsSpent) {
  int retried = 0;
  for (int i = 0; i < 200; ++i) {
    now_ += milliseconds(50);  // Longer than the backoff from a full owner.
    Begin("/tags/1");
    Refuse(Attempt(0), AdmissionCode::kQueueFull, Certainty::kNotRun);
    if (owners_.started.size() < 2) continue;
    ++retried;
    Answer(Attempt(1), "tag");
  }
  EXPECT_LE(retried, 23);  // A tenth of the calls (20) and the burst (3).
  EXPECT_GE(retried, 20);
}

/// An upstream was reached, though another one than expected.
TEST_F(AnEntry, SpendsTheBudgetOnRetriesAfterAnUpstreamWasReplaced) {
  int retried = 0;
  int nested = 0;
  for (int i = 0; i < 200; ++i) {
    const uint32_t depth = i % 2;
    now_ += milliseconds(50);
    Begin("/tags/1", depth);
    Refuse(Attempt(0), AdmissionCode::kReplaced, Certainty::kNotRun);
    if (owners_.started.size() < 2) continue;
    ++retried;
    nested += depth == 0 ? 0 : 1;
    Answer(Attempt(1), "tag");
  }
  EXPECT_GT(nested, 0);
  EXPECT_LE(retried, 23);  // A tenth of the calls (20) and the burst (3).
  EXPECT_GE(retried, 20);
}

TEST(ARetryBudget, AllowsNothingAtZeroPercent) {
  RetryBudget budget(0);
  budget.OnRequest();
  EXPECT_FALSE(budget.TryTake());
}

TEST_F(AnEntry, CancelsCallsAtTheDeadlineAsUnknown) {
  Begin("/reads/1");
  now_ += seconds(1);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "refused 4005 unknown");
  EXPECT_EQ(owners_.cancelled, std::vector<AttemptId>{Attempt(0)});
  EXPECT_TRUE(entry_->Idle());
}

TEST_F(AnEntry, PassesOnOneAnswerOfTwoHedgedAttempts) {
  CompleteManyReads();
  Begin("/reads/1");
  now_ += milliseconds(100);
  entry_->OnTick(now_);
  ASSERT_EQ(owners_.started.size(), 2u);
  entry_->OnAnswerHead(Attempt(1), {200, {}, -1}, kLoad, now_);
  EXPECT_EQ(owners_.cancelled, std::vector<AttemptId>{Attempt(0)});
  entry_->OnAnswerHead(Attempt(0), {500, {}, -1}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 0, "late", now_);
  entry_->OnAnswerChunk(Attempt(1), 0, "first", now_);
  entry_->OnAnswerEnd(Attempt(1), {1, 5, DigestOf("first", 0)}, kLoad, now_);
  EXPECT_EQ(received_, "head 200 first end");
  EXPECT_EQ(CounterValue("hedges_total{reason=\"won\"}"), 1);
}

TEST_F(AnEntry, WaitsForTheHedgeWhenTheFirstAttemptFails) {
  CompleteManyReads();
  Begin("/reads/1");
  now_ += milliseconds(100);
  entry_->OnTick(now_);
  entry_->OnOwnerLost(owners_.started[0].first, true, now_);
  EXPECT_EQ(received_, "");
  Answer(Attempt(1), "whole");
  EXPECT_EQ(received_, "head 200 whole end");
}

TEST_F(AnEntry, CountsTheObjectiveOfARetryingCallerFromItsFirstTry) {
  Begin("/reads/1", 0, milliseconds(1000));
  EXPECT_EQ(owners_.objective, milliseconds(300));
  Begin("/reads/1", 0, milliseconds(880));
  EXPECT_EQ(owners_.objective, milliseconds(180));
}

/// Upstreams allow their calls 255 to 300 ms: an objective of 120 ms had shrunk
/// to 75 ms, as if they had called before.
TEST_F(AnEntry, CountsTheObjectiveOfAnUpstreamsCallFromItsArrival) {
  LoadReport load = kLoad;
  load.begun_work = true;
  Begin("/reads/1", 0, milliseconds(1000));
  entry_->OnAnswerHead(Attempt(0), {200, {}, -1}, load, now_);
  Begin("/reads/1", 0, milliseconds(880));
  EXPECT_EQ(owners_.objective, milliseconds(300));
}

TEST_F(AnEntry, TellsOfRefusedCallsOfTheUpstreamBesideIt) {
  struct CountingTrees : CallTrees {
    void OnCallRefused(Instant) override { ++refused; }
    void OnRunEnded(const std::string&, Instant, bool, Instant) override {}
    std::optional<Duration> RefuseNew(const std::string&, Instant) override {
      return {};
    }
    int refused = 0;
  } trees;
  entry_ = MakeEntry(
      "e", 1,
      {owners_, routes_, *chooser_, *metrics_, NoCustomerLimits(), &trees});
  Begin("/reads/1", 0);
  Refuse(Attempt(0), RoutingCode::kNoUpstream, Certainty::kNotRun);
  EXPECT_EQ(trees.refused, 0);
  Begin("/reads/1", 1);
  Refuse(Attempt(0), RoutingCode::kNoUpstream, Certainty::kNotRun);
  EXPECT_EQ(trees.refused, 1);
}

TEST_F(AnEntry, IgnoresCallerTimeoutsBeyondTheRouteTimeout) {
  Begin("/reads/1", 0, seconds(600));
  Begin("/reads/1", 0, milliseconds(1000));
  EXPECT_EQ(owners_.objective, milliseconds(300));
}

TEST_F(AnEntry, AdoptsAShorterFirstTimeoutOfCallers) {
  Begin("/reads/1", 0, milliseconds(1000));
  for (int i = 0; i < 3; ++i) {
    now_ += seconds(5);
    Begin("/reads/1", 0, milliseconds(500));
  }
  EXPECT_EQ(owners_.objective, milliseconds(300));
}

/// Callers that allow 800 ms were taken for ones that had waited for 400 ms.
TEST_F(AnEntry, KeepsTheObjectiveWhenAVersionShortensTheRouteTimeout) {
  Begin("/reads/1", 0, milliseconds(800));
  EXPECT_EQ(owners_.objective, milliseconds(300));
  std::string document = kDocument;
  const std::string timeout = "\"timeout_ms\": 1000";
  document.replace(document.find(timeout), timeout.size(),
                   "\"timeout_ms\": 400");
  PublishVersion(2, document);
  now_ += milliseconds(100);
  Begin("/reads/1", 0, milliseconds(800));
  EXPECT_EQ(owners_.objective, milliseconds(300));
}

/// At the demand peak of a quoting site, with catalogue reads at three times
/// the upstreams' capacity, seven of eight requests are refused. While all
/// owners are full, the entry must refuse calls itself instead of sending each
/// of them to every owner.
TEST_F(AnEntry, RefusesByItselfWhileAllOwnersAreFull) {
  for (int i = 0; i < 6; ++i) {
    Begin("/reads/1");
    for (size_t n = 0; n < owners_.started.size(); ++n) {
      Refuse(Attempt(n), AdmissionCode::kQueueFull, Certainty::kNotRun);
    }
  }
  Begin("/reads/1");
  EXPECT_TRUE(owners_.started.empty());
  EXPECT_EQ(received_, "refused 5003 not-run");
  now_ += milliseconds(40);
  Begin("/reads/1");
  EXPECT_EQ(owners_.started.size(), 1u);
}

/// Callers lost their connection although nothing of the answer was needed yet.
TEST_F(AnEntry, TriesElsewhereWhenAShortAnswerBreaksOff) {
  Begin("/reads/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, 8}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 0, "part", now_);
  EXPECT_EQ(received_, "");
  entry_->OnOwnerLost(owners_.started.at(0).first, true, now_);
  ASSERT_EQ(owners_.started.size(), 2u);
  Answer(Attempt(1), "body");
  EXPECT_EQ(received_, "head 200 body end");
}

TEST_F(AnEntry, SaysUnknownWhenAShortAnswerThatMayNotBeRepeatedBreaksOff) {
  Begin("/tags/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, 8}, kLoad, now_);
  entry_->OnOwnerLost(owners_.started.at(0).first, true, now_);
  EXPECT_EQ(owners_.started.size(), 1u);
  EXPECT_EQ(received_, "refused 4006 unknown");
}

/// Answers that had begun to arrive were cut off with their connection.
TEST_F(AnEntry, DeliversAnAnswerThatArrivesWhileTheRouteTimeoutPasses) {
  Begin("/reads/1", 0, seconds(3));
  now_ += milliseconds(999);
  entry_->OnAnswerHead(Attempt(0), {200, {}, 4}, kLoad, now_);
  now_ += milliseconds(100);
  entry_->OnTick(now_);
  entry_->OnAnswerChunk(Attempt(0), 0, "body", now_);
  entry_->OnAnswerEnd(Attempt(0), {1, 4, DigestOf("body", 0)}, kLoad, now_);
  EXPECT_EQ(received_, "head 200 body end");
}

TEST_F(AnEntry, WaitsNoLongerForTheRestOfAnAnswerThanItsCaller) {
  Begin("/reads/1", 0, milliseconds(1050));
  entry_->OnAnswerHead(Attempt(0), {200, {}, 4}, kLoad, now_);
  now_ += milliseconds(1049);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "");
  now_ += milliseconds(1);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "refused 4005 unknown");
}

TEST_F(AnEntry, StartsNoAttemptPastTheRouteTimeout) {
  Begin("/reads/1", 0, seconds(3));
  now_ += milliseconds(950);
  entry_->OnAnswerHead(Attempt(0), {200, {}, 8}, kLoad, now_);
  now_ += milliseconds(100);
  entry_->OnTick(now_);
  entry_->OnOwnerLost(owners_.started.at(0).first, true, now_);
  EXPECT_EQ(owners_.started.size(), 1u);
  EXPECT_EQ(received_, "refused 4006 unknown");
}

TEST_F(AnEntry, GivesUpABegunAnswerSoonAfterTheRouteTimeout) {
  Begin("/reads/1", 0, seconds(3));
  entry_->OnAnswerHead(Attempt(0), {200, {}, 8}, kLoad, now_);
  now_ += milliseconds(1120);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "refused 4005 unknown");
  EXPECT_EQ(owners_.cancelled.size(), 1u);
}

TEST_F(AnEntry, TriesElsewhereWhenAShortAnswerHasAGap) {
  Begin("/reads/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, 8}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 1, "part", now_);
  ASSERT_EQ(owners_.started.size(), 2u);
  EXPECT_EQ(owners_.cancelled, std::vector<AttemptId>{Attempt(0)});
  entry_->OnAnswerHead(Attempt(1), {200, {}, 8}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(1), 0, "four", now_);
  entry_->OnAnswerChunk(Attempt(1), 1, "more", now_);
  entry_->OnAnswerEnd(Attempt(1), {2, 8, DigestOf("more", DigestOf("four", 0))},
                      kLoad, now_);
  EXPECT_EQ(received_, "head 200 fourmore end");
}

/// Calls of upstreams lost their connection when an answer without a length
/// did not arrive in one piece.
TEST_F(AnEntry, TriesElsewhereWhenAnAnswerOfUnknownLengthBreaksOff) {
  Begin("/reads/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, -1}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 0, "part", now_);
  EXPECT_EQ(received_, "");
  entry_->OnAttemptUnknown(Attempt(0), now_);
  ASSERT_EQ(owners_.started.size(), 2u);
  Answer(Attempt(1), "body");
  EXPECT_EQ(received_, "head 200 body end");
}

TEST_F(AnEntry, HoldsAnAnswerOfUnknownLengthOnlyForAQuarterOfASecond) {
  Begin("/reads/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, -1}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 0, "event", now_);
  now_ += milliseconds(249);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "");
  now_ += milliseconds(1);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "head 200 event ");
}

TEST_F(AnEntry, HoldsNoMoreThanSixtyFourKibibytes) {
  const std::string part(size_t{64} << 10U, 'x');
  Begin("/reads/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, -1}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 0, part, now_);
  EXPECT_EQ(received_, "");
  entry_->OnAnswerChunk(Attempt(0), 1, "y", now_);
  EXPECT_EQ(received_, "head 200 " + part + "y ");
}

TEST_F(AnEntry, BreaksOffAnAnswerWithAGap) {
  Begin("/reads/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, 1'000'000}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 1, "second", now_);
  EXPECT_EQ(received_, "head 200 broken 4007 unknown");
  EXPECT_EQ(owners_.cancelled.size(), 1u);
}

}  // namespace
}  // namespace hibiscusglade
