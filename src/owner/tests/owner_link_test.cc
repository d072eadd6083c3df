#include <gtest/gtest.h>

#include "admission/admission_result_codes.h"
#include "owner/internal/link_budget.h"
#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kArchiveBytes = 90'000;
constexpr uint64_t kReceiptBytes = 1'500;
/// An archive of 90 KB takes some 100 ms at the rate of a link of 7.7 Mbit/s.
constexpr double kSlowLinkMbps = 7.7;

/// An owner with free slots whose link carries ten archives a second.
class AnOwnerOnASlowLink : public testing::Test {
 protected:
  AnOwnerOnASlowLink() {
    // The first answers of each class show its size; they find an idle link.
    Start("first-archive", "archive");
    Answer("first-archive", kArchiveBytes);
    Pass(milliseconds(500));
    Start("first-receipt", "receipt");
    Answer("first-receipt", kReceiptBytes);
    Pass(milliseconds(500));
    harness_.recorder.log.clear();
  }

  void Start(const std::string& attempt, const std::string& request_class,
             const EntryRef& entry = "entry",
             Duration objective = milliseconds(600)) {
    CallAttempt call;
    call.id = attempt;
    call.request.method = "GET";
    call.request.target = "/" + attempt;
    call.service = "orders";
    call.request_class = request_class;
    call.repeatable = true;
    call.claimed = false;
    call.objective = objective;
    call.remaining = milliseconds(1500);
    call.credit_bytes = 256 * 1024;
    harness_.owner->OnStart(entry, call, harness_.clock.now);
  }

  /// The upstream answers a running attempt in whole.
  void Answer(const std::string& attempt, uint64_t bytes) {
    for (const auto& [run, started] : harness_.recorder.started) {
      if (started.id != attempt) continue;
      const RunId id = run;
      harness_.recorder.started.erase(id);
      harness_.owner->OnRunHead(id, {200, {}, static_cast<int64_t>(bytes)},
                                harness_.clock.now);
      harness_.owner->OnRunData(id, std::string(bytes, 'a'),
                                harness_.clock.now);
      harness_.owner->OnRunEnd(id, harness_.clock.now);
      return;
    }
    FAIL() << attempt << " does not run";
  }

  void Pass(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(10)) {
      harness_.Wait(milliseconds(10));
    }
  }

  bool Ended(const std::string& attempt) const {
    return harness_.recorder.log.find(attempt + " end") != std::string::npos;
  }
  bool Refused(const std::string& attempt) const {
    return harness_.recorder.refused.contains(attempt);
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 20, kSlowLinkMbps};
};

/// Archives come at three times the rate of the link, though slots are free.
TEST_F(AnOwnerOnASlowLink, TakesNoMoreArchivesThanArriveInTime) {
  int taken = 0;
  int in_time = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string attempt = "archive-" + std::to_string(i);
    Start(attempt, "archive");
    if (Refused(attempt)) {
      EXPECT_EQ(harness_.recorder.refused.at(attempt), Certainty::kNotRun);
    } else {
      ++taken;
      Answer(attempt, kArchiveBytes);
    }
    Pass(milliseconds(30));
    const int earlier = i - 19;  // Begun 600 ms ago.
    if (earlier >= 0 && Ended("archive-" + std::to_string(earlier))) ++in_time;
  }
  EXPECT_GE(taken, 18);
  EXPECT_LE(taken, 26);
  EXPECT_GE(in_time, taken - 6);  // The last six may still be on their way.
}

TEST_F(AnOwnerOnASlowLink, SendsReceiptsAheadOfQueuedArchives) {
  for (const char* archive : {"a", "b", "c"}) {
    Start(archive, "archive");
    Answer(archive, kArchiveBytes);
  }
  Start("receipt", "receipt");
  Answer("receipt", kReceiptBytes);
  EXPECT_TRUE(Ended("receipt"));
  EXPECT_FALSE(Ended("a"));
}

TEST_F(AnOwnerOnASlowLink, SendsWholeArchivesOneAfterTheOther) {
  for (const char* archive : {"a", "b"}) {
    Start(archive, "archive");
    Answer(archive, kArchiveBytes);
    Pass(milliseconds(10));
  }
  Pass(milliseconds(110));
  EXPECT_TRUE(Ended("a"));
  EXPECT_FALSE(Ended("b"));
  Pass(milliseconds(110));
  EXPECT_TRUE(Ended("b"));
}

TEST_F(AnOwnerOnASlowLink, SendsNothingMoreToAnEntryThatCancelled) {
  for (const char* archive : {"a", "b"}) {
    Start(archive, "archive");
    Answer(archive, kArchiveBytes);
  }
  EXPECT_TRUE(harness_.owner->HasAttempt("b"));
  harness_.owner->OnCancel("entry", "a", harness_.clock.now);
  harness_.owner->OnCancel("entry", "b", harness_.clock.now);
  harness_.recorder.log.clear();
  Pass(milliseconds(500));
  EXPECT_EQ(harness_.recorder.log, "");
  EXPECT_TRUE(harness_.owner->Idle());
}

TEST_F(AnOwnerOnASlowLink, KeepsAnAttemptUntilItsAnswerIsOnTheLink) {
  Start("a", "archive");
  Answer("a", kArchiveBytes);
  EXPECT_TRUE(harness_.owner->HasAttempt("a"));
  EXPECT_FALSE(harness_.owner->Idle());
  Pass(milliseconds(200));
  EXPECT_FALSE(harness_.owner->HasAttempt("a"));
  EXPECT_TRUE(harness_.owner->Idle());
}

TEST_F(AnOwnerOnASlowLink, ServesItsOwnInstanceWhileTheLinkIsFull) {
  int taken = 0;
  for (; taken < 20; ++taken) {
    const std::string attempt = "archive-" + std::to_string(taken);
    Start(attempt, "archive");
    if (Refused(attempt)) break;
  }
  ASSERT_LT(taken, 8);
  Start("own", "archive", "");
  Answer("own", kArchiveBytes);
  EXPECT_TRUE(Ended("own"));
}

TEST_F(AnOwnerOnASlowLink, TakesAnArchiveThatIsLateAnywayOnlyOnAnIdleLink) {
  Start("late", "archive", "entry", milliseconds(1));
  EXPECT_FALSE(Refused("late"));
  Start("another", "archive", "entry", milliseconds(1));
  EXPECT_TRUE(Refused("another"));
}

TEST_F(AnOwnerOnASlowLink, DoesNotRunWhatItRefusesForTheLink) {
  for (int i = 0; i < 20; ++i) Start("a" + std::to_string(i), "archive");
  EXPECT_EQ(harness_.recorder.started.size() + harness_.recorder.refused.size(),
            20U);
}

/// The instance's entry sends requests over the same link, at half its rate.
TEST(TheLinkBudget, LeavesRoomForWhatElseTheDaemonSends) {
  LinkBudget budget(kSlowLinkMbps);
  Instant now(std::chrono::seconds(1));
  uint64_t total = 1000;
  uint64_t answer_bytes = 0;
  budget.OnTraffic(total, now);
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    total += 4800;
    budget.OnTraffic(total, now);
    while (budget.MaySend(now)) {
      budget.OnSent("a", budget.PieceBytes(), now);
      answer_bytes += budget.PieceBytes();
      total += budget.PieceBytes();
    }
  }
  EXPECT_GT(answer_bytes, 700'000U);
  EXPECT_LT(answer_bytes, 900'000U);  // Of 1,925,000 bytes in two seconds.
}

TEST(TheLinkBudget, LimitsNothingOnALinkOfUnknownRate) {
  LinkBudget budget(0);
  const Instant now(std::chrono::seconds(1));
  budget.OnAnswerSize("archive", kArchiveBytes);
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(budget
                     .WaitForRoom({"archive",
                                   {},
                                   now + milliseconds(100),
                                   now + milliseconds(50)},
                                  now)
                     .has_value());
    budget.Reserve(std::to_string(i), "archive");
  }
}

TEST(TheLinkBudget, IsNotNoticedOnAFastLink) {
  LinkBudget budget(1000);
  const Instant now(std::chrono::seconds(1));
  budget.OnAnswerSize("archive", kArchiveBytes);
  for (int i = 0; i < 20; ++i) {
    const std::string attempt = std::to_string(i);
    EXPECT_FALSE(budget
                     .WaitForRoom({"archive",
                                   {},
                                   now + milliseconds(1500),
                                   now + milliseconds(600)},
                                  now)
                     .has_value());
    budget.Reserve(attempt, "archive");
    EXPECT_TRUE(budget.MaySend(now));
    budget.OnSent(attempt, kArchiveBytes, now);
  }
}

}  // namespace
}  // namespace hibiscusglade
