#include <gtest/gtest.h>

#include <map>
#include <utility>

#include "admission/admission_result_codes.h"
#include "owner/internal/body_grants.h"
#include "owner/internal/job.h"
#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kUploadBytes = 60'000;
/// An upload of 60 KB takes some 90 ms at the rate of this link.
constexpr double kSlowLinkMbps = 6;

/// An owner with free slots to which entries offer uploads.
class AnOwnerThatIsOfferedUploads : public testing::Test {
 protected:
  void Offer(const std::string& attempt, uint64_t bytes = kUploadBytes,
             Duration objective = milliseconds(800)) {
    CallAttempt call;
    call.id = attempt;
    call.request.method = "POST";
    call.request.target = "/uploads";
    call.service = "orders";
    call.request_class = "short";
    call.claimed = false;
    call.offered_bytes = bytes;
    call.objective = objective;
    call.remaining = seconds(3);
    harness_.owner->OnStart("entry", call, harness_.clock.now);
  }

  /// The entries send what they were granted, and time passes.
  void Pass(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(10)) {
      SendGranted();
      harness_.Wait(milliseconds(10));
    }
  }

  void SendGranted() {
    // Each piece that arrives may bring a grant.
    const auto granted = harness_.recorder.granted;
    for (const auto& [attempt, until] : granted) {
      uint64_t& sent = sent_[attempt];
      if (sent == until) continue;
      const std::string piece(until - sent, 'a');
      harness_.owner->OnBodyPiece(attempt, sent, piece, harness_.clock.now);
      sent = until;
    }
  }

  /// @return the run of an attempt; nullptr when it does not run.
  const CallAttempt* RunOf(const std::string& attempt) const {
    for (const auto& [run, started] : harness_.recorder.started) {
      if (started.id == attempt) return &started;
    }
    return nullptr;
  }
  bool Refused(const std::string& attempt) const {
    return harness_.recorder.refused.contains(attempt);
  }
  bool Logged(const std::string& line) const {
    return harness_.recorder.log.find(line) != std::string::npos;
  }

  ClaimLedger ledger_;
  OwnerHarness harness_{"o1", ledger_, 40, kSlowLinkMbps};
  std::map<AttemptId, uint64_t> sent_;
};

TEST_F(AnOwnerThatIsOfferedUploads, RunsOneOnceItsBodyIsWhole) {
  Offer("upload");
  EXPECT_GT(harness_.recorder.granted["upload"], 0u);
  EXPECT_LT(harness_.recorder.granted["upload"], kUploadBytes);
  Pass(milliseconds(50));
  EXPECT_EQ(RunOf("upload"), nullptr);
  Pass(milliseconds(80));
  ASSERT_NE(RunOf("upload"), nullptr);
  EXPECT_EQ(RunOf("upload")->request.body, std::string(kUploadBytes, 'a'));
}

/// Uploads come at twice the rate of the link, though slots are free: those
/// that are taken arrive in time, the others cost the link nothing.
TEST_F(AnOwnerThatIsOfferedUploads, TakesNoMoreThanArriveInTime) {
  int taken = 0;
  int in_time = 0;
  for (int i = 0; i < 80; ++i) {
    const std::string attempt = "upload-" + std::to_string(i);
    Offer(attempt);
    if (Refused(attempt)) {
      EXPECT_EQ(harness_.recorder.refused.at(attempt), Certainty::kNotRun);
      EXPECT_FALSE(harness_.recorder.granted.contains(attempt));
    } else {
      ++taken;
    }
    Pass(milliseconds(40));
    const int earlier = i - 19;  // Offered 800 ms ago.
    if (earlier >= 0 && RunOf("upload-" + std::to_string(earlier)) != nullptr) {
      ++in_time;
    }
  }
  // The link carries 36 uploads in 3.2 s, and ten in the 0.8 s after those.
  EXPECT_GE(taken, 36);
  EXPECT_LE(taken, 46);
  EXPECT_GE(in_time, taken - 10);
}

TEST_F(AnOwnerThatIsOfferedUploads, GrantsTheEarliestObjectiveFirst) {
  Offer("late", kUploadBytes, milliseconds(790));
  Offer("early", kUploadBytes, milliseconds(400));
  Pass(milliseconds(120));
  EXPECT_NE(RunOf("early"), nullptr);
  EXPECT_EQ(RunOf("late"), nullptr);
  Pass(milliseconds(100));
  EXPECT_NE(RunOf("late"), nullptr);
}

TEST_F(AnOwnerThatIsOfferedUploads, TakesOneThatIsLateAnywayOnlyOnAnIdleLink) {
  Offer("first", kUploadBytes, milliseconds(10));
  EXPECT_FALSE(Refused("first"));
  Offer("second", kUploadBytes, milliseconds(10));
  EXPECT_TRUE(Refused("second"));
}

TEST_F(AnOwnerThatIsOfferedUploads, RefusesAPieceThatWasNotGranted) {
  Offer("upload");
  const uint64_t granted = harness_.recorder.granted["upload"];
  harness_.owner->OnBodyPiece("upload", 0, std::string(granted + 1, 'a'),
                              harness_.clock.now);
  EXPECT_TRUE(Logged("upload refused 5011 not-run"));
  Offer("other");
  harness_.owner->OnBodyPiece("other", 1, "a", harness_.clock.now);
  EXPECT_TRUE(Logged("other refused 5011 not-run"));
}

TEST_F(AnOwnerThatIsOfferedUploads, NeverRunsWhatItsEntryCancelled) {
  Offer("upload");
  harness_.owner->OnCancel("entry", "upload", harness_.clock.now);
  Pass(milliseconds(500));
  EXPECT_EQ(RunOf("upload"), nullptr);
  EXPECT_TRUE(harness_.owner->Idle());
}

/// A caller's entry that dies, or whose link goes silent, sends no more.
TEST_F(AnOwnerThatIsOfferedUploads, GivesUpABodyThatStopsMidway) {
  Offer("upload");
  SendGranted();
  harness_.Wait(milliseconds(3001));
  EXPECT_TRUE(Refused("upload"));
  EXPECT_TRUE(harness_.owner->Idle());
  Offer("next");
  EXPECT_FALSE(Refused("next"));
}

TEST_F(AnOwnerThatIsOfferedUploads, RefusesThoseOnTheirWayWhenItDrains) {
  Offer("upload");
  harness_.owner->Drain(harness_.clock.now);
  EXPECT_TRUE(Logged("upload refused 5002 not-run"));
}

TEST_F(AnOwnerThatIsOfferedUploads, RefusesThoseThatCouldRunWhenItsDaemonEnds) {
  Offer("upload");
  harness_.owner->BeginStop(harness_.clock.now + seconds(1),
                            harness_.clock.now);
  EXPECT_TRUE(Logged("upload refused 4011 not-run"));
}

TEST_F(AnOwnerThatIsOfferedUploads, RecognisesAQuarantinedOneByItsWholeBody) {
  CallRequest request;
  request.method = "POST";
  request.target = "/uploads";
  request.body = std::string(kUploadBytes, 'a');
  harness_.quarantine->OnNotice({FingerprintOf(request), 2, seconds(60)},
                                harness_.clock.now);
  Offer("upload");
  EXPECT_FALSE(Refused("upload"));
  Pass(milliseconds(200));
  EXPECT_TRUE(Logged("upload refused 5006 not-run"));
  EXPECT_EQ(RunOf("upload"), nullptr);
}

BodyOffer OfferOf(uint64_t bytes, Instant now) {
  return {bytes, {}, {}, now + seconds(5), now + seconds(5)};
}

/// Calls and answers come over the same link, at half its rate.
TEST(TheBodyGrants, LeaveRoomForWhatElseArrives) {
  BodyGrants grants(kSlowLinkMbps);
  Instant now(seconds(1));
  uint64_t total = 1000;
  uint64_t granted = 0;
  grants.Accept("a", OfferOf(10'000'000, now));
  grants.OnTraffic(total, now);
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    total += 3750;
    grants.OnTraffic(total, now);
    while (const auto grant = grants.Next(now)) {
      EXPECT_TRUE(grants.OnArrived("a", grant->until - granted));
      total += grant->until - granted;
      granted = grant->until;
    }
  }
  EXPECT_GT(granted, 550'000U);
  EXPECT_LT(granted, 700'000U);  // Of 1,500,000 bytes in two seconds.
}

/// Callers stop midway, all at the same time.
TEST(TheBodyGrants, BoundTheBytesOfBodiesThatStall) {
  for (double megabits_per_second : {0.0, 6.0, 1000.0}) {
    BodyGrants grants(megabits_per_second);
    Instant now(seconds(1));
    std::map<AttemptId, uint64_t> granted;
    for (int i = 0; i < 500; ++i) {
      grants.Accept("a" + std::to_string(i), OfferOf(1U << 20U, now));
    }
    for (int i = 0; i < 1000; ++i) {
      now += milliseconds(10);
      while (const auto grant = grants.Next(now)) {
        granted[grant->attempt] = grant->until;
      }
    }
    uint64_t total = 0;
    for (const auto& [attempt, until] : granted) total += until;
    EXPECT_GT(total, 0u);
    EXPECT_LE(total, uint64_t{16} << 20U) << megabits_per_second;
  }
}

TEST(TheBodyGrants, LetOneBodyOfAnySizeCome) {
  BodyGrants grants(0);
  const Instant now(seconds(1));
  grants.Accept("a", OfferOf(uint64_t{64} << 20U, now));
  uint64_t arrived = 0;
  while (const auto grant = grants.Next(now)) {
    EXPECT_TRUE(grants.OnArrived("a", grant->until - arrived));
    arrived = grant->until;
  }
  EXPECT_EQ(arrived, uint64_t{64} << 20U);
}

/// Guards against copies of a body that fill the memory of the machine.
TEST(AnOwner, GivesTheBodyThatItGotToTheUpstreamWithoutACopy) {
  ClaimLedger ledger;
  OwnerHarness harness("o1", ledger);
  CallAttempt call;
  call.id = "upload";
  call.request.method = "POST";
  call.request.body = std::string(100'000, 'x');
  call.service = "orders";
  call.request_class = "short";
  call.repeatable = true;
  call.remaining = std::chrono::seconds(2);
  const char* const body = call.request.body.data();
  harness.owner->OnStart("entry", std::move(call), harness.clock.now);
  EXPECT_EQ(harness.recorder.started.at(1).request.body.data(), body);
  EXPECT_EQ(harness.owner->Usage().request_bytes, 100'000u);
}

}  // namespace
}  // namespace hibiscusglade
