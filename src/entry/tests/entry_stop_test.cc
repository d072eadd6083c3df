#include <gtest/gtest.h>

#include "admission/admission_result_codes.h"
#include "entry/tests/entry_fixture.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStopsTooSoon[] = "refused 4011 not-run";

/// An entry whose daemon is told to stop. Its routes have a timeout of one
/// second, and 120 ms more for an answer that has begun to arrive.
class AnEntryOfAStoppingDaemon : public AnEntry {
 protected:
  void BeginStop(Duration timeout) { entry_->BeginStop(now_ + timeout, now_); }

  void Wait(Duration time) {
    now_ += time;
    entry_->OnTick(now_);
  }
};

/// Requests sent late in the grace were passed on, and cut when the process
/// ended.
TEST_F(AnEntryOfAStoppingDaemon, PassesOnOnlyWhatEndsBeforeItsOwnEnd) {
  BeginStop(seconds(5));
  for (int at_ms = 0; at_ms < 5000; at_ms += 250) {
    const bool long_fits = at_ms <= 3750;
    Begin("/tags/1");
    EXPECT_EQ(owners_.started.size(), long_fits ? 1U : 0U) << at_ms;
    if (long_fits) Answer(Attempt(0), "tag");
    EXPECT_EQ(received_, long_fits ? "head 200 tag end" : kStopsTooSoon);
    // A caller that waits only for a short time.
    const bool short_fits = at_ms <= 4750;
    Begin("/tags/1", 0, milliseconds(200));
    EXPECT_EQ(owners_.started.size(), short_fits ? 1U : 0U) << at_ms;
    if (short_fits) Answer(Attempt(0), "tag");
    Wait(milliseconds(250));
  }
  EXPECT_TRUE(entry_->Idle());
}

TEST_F(AnEntryOfAStoppingDaemon, TellsCallersWhenToComeBack) {
  BeginStop(milliseconds(400));
  Begin("/tags/1");
  EXPECT_EQ(received_, kStopsTooSoon);
  EXPECT_EQ(retry_after_, milliseconds(400));
  entry_->Stop();
  Begin("/tags/1");
  EXPECT_EQ(received_, "refused 4009 not-run");
  EXPECT_EQ(retry_after_, milliseconds(400));
}

TEST_F(AnEntryOfAStoppingDaemon, AwaitsTheAnswerToWhatItHasPassedOn) {
  Begin("/tags/1");
  BeginStop(milliseconds(900));
  Wait(milliseconds(800));
  Answer(Attempt(0), "tag");
  EXPECT_EQ(received_, "head 200 tag end");
}

TEST_F(AnEntryOfAStoppingDaemon, DoesNotRetryWhatCouldRunAtTheEnd) {
  Begin("/tags/1");
  BeginStop(seconds(1));
  Refuse(Attempt(0), AdmissionCode::kDraining, Certainty::kNotRun);
  EXPECT_EQ(owners_.started.size(), 1U);
  EXPECT_EQ(received_, kStopsTooSoon);
  EXPECT_TRUE(entry_->Idle());
}

TEST_F(AnEntryOfAStoppingDaemon, SaysUnknownOfARetryThatItDoesNotMake) {
  Begin("/reads/1");
  BeginStop(seconds(1));
  entry_->OnOwnerLost(owners_.started.at(0).first, true, now_);
  EXPECT_EQ(owners_.started.size(), 1U);
  EXPECT_EQ(received_, "refused 4006 unknown");
}

TEST_F(AnEntryOfAStoppingDaemon, RefusesAtOnceWhatWaitsForARetry) {
  std::vector<SettingsFault> faults;
  std::string document = kDocument;
  document.insert(document.rfind('}'),
                  R"(, "limits": {"max_owner_tries": 3, "max_hold_ms": 500})");
  routes_.Publish(std::make_shared<const RouteTable>(
      MakeConfigVersion(2, 1, document, "", faults), Instances()));
  ASSERT_TRUE(faults.empty());
  Begin("/tags/1");
  for (size_t n = 0; n < 3; ++n) {
    Refuse(Attempt(n), AdmissionCode::kDraining, Certainty::kNotRun);
  }
  ASSERT_EQ(received_, "");
  BeginStop(milliseconds(900));
  EXPECT_EQ(received_, kStopsTooSoon);
  EXPECT_TRUE(entry_->Idle());
}

TEST_F(AnEntryOfAStoppingDaemon, SendsNoHedgeThatCouldRunAtTheEnd) {
  CompleteManyReads();
  Begin("/reads/1");
  BeginStop(seconds(1));
  Wait(milliseconds(100));
  EXPECT_EQ(owners_.started.size(), 1U);
  Answer(Attempt(0), "body");
  EXPECT_EQ(received_, "head 200 body end");
}

TEST_F(AnEntryOfAStoppingDaemon, SendsElsewhereWhatAnotherOneRefuses) {
  Begin("/tags/1");
  Refuse(Attempt(0), RoutingCode::kStopsTooSoon, Certainty::kNotRun);
  ASSERT_EQ(owners_.started.size(), 2U);
  EXPECT_NE(owners_.started[0].first, owners_.started[1].first);
}

TEST_F(AnEntryOfAStoppingDaemon, SaysUnknownOfWhatStillRunsAtTheEnd) {
  Begin("/tags/1");
  BeginStop(milliseconds(600));
  Wait(milliseconds(600));
  const auto cut = entry_->CutOpenCalls(now_);
  EXPECT_EQ(received_, "refused 4012 unknown");
  ASSERT_EQ(cut.size(), 1U);
  EXPECT_EQ(cut[0].route, "tags");
  EXPECT_EQ(cut[0].running, milliseconds(600));
  EXPECT_EQ(cut[0].remaining, milliseconds(400));
  EXPECT_TRUE(entry_->Idle());
}

TEST_F(AnEntryOfAStoppingDaemon, SaysUnknownOfAnAnswerThatIsNotWhole) {
  Begin("/tags/1");
  entry_->OnAnswerHead(Attempt(0), {200, {}, 8}, kLoad, now_);
  entry_->OnAnswerChunk(Attempt(0), 0, "part", now_);
  entry_->CutOpenCalls(now_);
  EXPECT_EQ(received_, "refused 4012 unknown");
}

}  // namespace
}  // namespace hibiscusglade
