#include "admission/admission.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "admission/admission_result_codes.h"
#include "admission/quarantine.h"
#include "tests/golden/golden.h"

namespace hibiscusglade {
namespace {

class AnUpstreamWithOneSlot : public testing::Test {
 protected:
  AnUpstreamWithOneSlot() {
    AdmissionConfig config{1, 1, {}, {}};
    config.classes["short"].max_wait = std::chrono::seconds(1);
    admission_->Configure(config, now_);
  }

  AdmissionEffects Request(SlotRequestId id) {
    return admission_->OnRequest(
        {id, "short", "caller", now_ + std::chrono::seconds(9), {}}, now_);
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  std::unique_ptr<Admission> admission_ = MakeAdmission();
};

TEST_F(AnUpstreamWithOneSlot, RunsOneQueuesOneAndRefusesTheThird) {
  EXPECT_EQ(Request(1).admitted, std::vector<SlotRequestId>{1});
  EXPECT_EQ(Request(2), AdmissionEffects{});
  auto third = Request(3).refused;
  ASSERT_EQ(third.size(), 1u);
  EXPECT_EQ(third[0].code, AdmissionCode::kQueueFull);
  EXPECT_EQ(admission_->OnFinished(1, Duration(10), now_).admitted,
            std::vector<SlotRequestId>{2});
}

TEST_F(AnUpstreamWithOneSlot, ReportsHowManyRequestsItsMedianCovers) {
  EXPECT_EQ(admission_->Load("short").service_samples, 0u);
  for (SlotRequestId id = 1; id <= 12; ++id) {
    Request(id);
    admission_->OnFinished(id, std::chrono::milliseconds(10), now_);
    EXPECT_EQ(admission_->Load("short").service_samples,
              std::min<size_t>(id, 9));
  }
}

TEST_F(AnUpstreamWithOneSlot, RefusesWhatWaitedTooLong) {
  Request(1);
  Request(2);
  auto refused = admission_->OnTick(now_ + std::chrono::seconds(1)).refused;
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].code, AdmissionCode::kWaitedTooLong);
}

TEST_F(AnUpstreamWithOneSlot, RefusesAllNewAndWaitingWorkWhileDraining) {
  Request(1);
  Request(2);
  EXPECT_EQ(admission_->Drain(now_).refused[0].code, AdmissionCode::kDraining);
  EXPECT_EQ(Request(3).refused[0].code, AdmissionCode::kDraining);
}

TEST_F(AnUpstreamWithOneSlot, ServesAgainAfterItsUpstreamHadDrained) {
  AdmissionConfig config{1, 1, {}, {}, true};
  admission_->Configure(config, now_);
  EXPECT_EQ(Request(1).refused[0].code, AdmissionCode::kDraining);
  config.draining = false;
  admission_->Configure(config, now_);
  EXPECT_EQ(Request(2).admitted, std::vector<SlotRequestId>{2});
}

/// Six slots: one is reserved for the class "short", and "archive" may use at
/// most three.
class AnUpstreamWithTwoClasses : public testing::Test {
 protected:
  AnUpstreamWithTwoClasses() {
    config_.slots = 6;
    config_.max_queue = 4;
    config_.classes["short"] = {"short", 20, 100, std::chrono::seconds(1), 9};
    config_.classes["archive"] = {"archive", 0, 50, std::chrono::seconds(9), 1};
    admission_->Configure(config_, now_);
  }

  AdmissionEffects Request(const std::string& request_class,
                           const std::string& caller = "c",
                           Duration time = std::chrono::seconds(20)) {
    ++last_;
    return Record("request " + std::to_string(last_) + " " + request_class +
                      " " + caller + " within " + std::to_string(time.count()),
                  admission_->OnRequest(
                      {last_, request_class, caller, now_ + time, {}}, now_));
  }

  AdmissionEffects Finish(SlotRequestId id, Duration time) {
    now_ += time;
    return Record("finished " + std::to_string(id),
                  admission_->OnFinished(id, time, now_));
  }

  AdmissionEffects Record(const std::string& event,
                          const AdmissionEffects& effects) {
    session_ += event + "\n";
    for (SlotRequestId id : effects.admitted) {
      session_ += "  runs " + std::to_string(id) + "\n";
    }
    for (const SlotRefusal& refusal : effects.refused) {
      session_ += "  refused " + std::to_string(refusal.id) + " code " +
                  std::to_string(refusal.code.value()) + " retry after " +
                  std::to_string(refusal.retry_after.count()) + "\n";
    }
    return effects;
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  AdmissionConfig config_;
  SlotRequestId last_ = 0;
  std::string session_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
};

TEST_F(AnUpstreamWithTwoClasses, RunsShortRequestsBeforeQueuedArchives) {
  for (int i = 0; i < 4; ++i) Request("archive", "certifier");
  for (int i = 0; i < 3; ++i) Request("short", "inspector");
  Request("short", "inspector");
  Finish(5, std::chrono::milliseconds(2));
  Finish(1, std::chrono::seconds(1));
  ExpectGolden(HG_TEST_DATA_DIR "/two_classes.txt", session_);
}

TEST_F(AnUpstreamWithTwoClasses, ShedsByPriorityAndThenByCaller) {
  for (int i = 0; i < 5; ++i) Request("archive", "certifier");
  for (int i = 0; i < 3; ++i) Request("short", "greedy");
  for (int i = 0; i < 4; ++i) Request("short", "greedy");
  Request("short", "modest");
  Request("short", "greedy");
  Request("archive", "certifier");
  ExpectGolden(HG_TEST_DATA_DIR "/shedding.txt", session_);
}

TEST_F(AnUpstreamWithTwoClasses, RefusesEarlyWhatCannotFinishInTime) {
  Request("short");
  Finish(1, std::chrono::milliseconds(100));
  for (int i = 0; i < 6; ++i) Request("short");
  Request("short", "c", std::chrono::milliseconds(90));
  Request("short", "c", std::chrono::milliseconds(150));
  ExpectGolden(HG_TEST_DATA_DIR "/deadlines.txt", session_);
}

TEST_F(AnUpstreamWithTwoClasses, AdmitsOneRequestToCorrectAWrongEstimate) {
  Request("short");
  Finish(1, std::chrono::seconds(5));
  EXPECT_EQ(Request("short", "c", std::chrono::seconds(1)).admitted.size(), 1u);
  EXPECT_EQ(Request("short", "c", std::chrono::seconds(1)).refused[0].code,
            AdmissionCode::kDeadlineTooNear);
}

TEST_F(AnUpstreamWithTwoClasses, RampsUpTheSlotsOfAStartedUpstream) {
  config_.ramp = std::chrono::seconds(10);
  admission_ = MakeAdmission();
  admission_->Configure(config_, now_);
  EXPECT_EQ(Request("short").admitted.size(), 1u);
  EXPECT_EQ(admission_->Load("short").slots, 1u);
  now_ += std::chrono::seconds(5);
  admission_->OnTick(now_);
  EXPECT_EQ(admission_->Load("short").slots, 3u);
  now_ += std::chrono::seconds(5);
  admission_->OnTick(now_);
  EXPECT_EQ(admission_->Load("short").slots, 6u);
}

class ARequestThatKillsUpstreams : public testing::Test {
 protected:
  Instant now_ = Instant(std::chrono::seconds(1000));
  std::unique_ptr<Quarantine> quarantine_ = MakeQuarantine();
};

TEST_F(ARequestThatKillsUpstreams, RunsAloneBeforeItIsQuarantined) {
  quarantine_->OnUpstreamDeath({1, 2}, 2, now_);
  quarantine_->OnUpstreamDeath({1, 3}, 2, now_);
  EXPECT_EQ(quarantine_->Decide(1, now_), QuarantineDecision::kRunAlone);
  quarantine_->OnUpstreamDeath({1}, 1, now_);
  EXPECT_EQ(quarantine_->Decide(1, now_), QuarantineDecision::kRefuse);
  quarantine_->OnRunSurvived(2, now_);
  EXPECT_EQ(quarantine_->Decide(2, now_), QuarantineDecision::kRun);
}

TEST_F(ARequestThatKillsUpstreams, IsNoSuspectAfterTheSuspicionExpires) {
  quarantine_->OnUpstreamDeath({1}, 1, now_);
  EXPECT_EQ(quarantine_->Decide(1, now_ + std::chrono::hours(1)),
            QuarantineDecision::kRun);
}

}  // namespace
}  // namespace hibiscusglade
