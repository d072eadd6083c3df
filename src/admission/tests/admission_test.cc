#include "admission/admission.h"

#include <gtest/gtest.h>

#include "admission/admission_result_codes.h"
#include "admission/quarantine.h"

namespace hibiscusglade {
namespace {

class AnUpstreamWithOneSlot : public testing::Test {
 protected:
  AnUpstreamWithOneSlot() {
    AdmissionConfig config{1, 1, {}};
    config.classes["short"].max_wait = std::chrono::seconds(1);
    admission_->Configure(config, now_);
  }

  AdmissionEffects Request(Ticket ticket) {
    return admission_->OnRequest(
        {ticket, "short", "caller", now_ + std::chrono::seconds(9), {}}, now_);
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  std::unique_ptr<Admission> admission_ = MakeAdmission();
};

TEST_F(AnUpstreamWithOneSlot, RunsOneQueuesOneAndRefusesTheThird) {
  EXPECT_EQ(Request(1).admitted, std::vector<Ticket>{1});
  EXPECT_EQ(Request(2), AdmissionEffects{});
  auto third = Request(3).refused;
  ASSERT_EQ(third.size(), 1u);
  EXPECT_EQ(third[0].code, AdmissionCode::kQueueFull);
  EXPECT_EQ(admission_->OnFinished(1, Duration(10), now_).admitted,
            std::vector<Ticket>{2});
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

class ARequestThatKillsUpstreams : public testing::Test {
 protected:
  Instant now_ = Instant(std::chrono::seconds(1000));
  std::unique_ptr<Quarantine> quarantine_ = MakeQuarantine();
};

TEST_F(ARequestThatKillsUpstreams, RunsAloneBeforeItIsCondemned) {
  quarantine_->OnUpstreamDeath({1, 2}, now_);
  quarantine_->OnUpstreamDeath({1, 3}, now_);
  EXPECT_EQ(quarantine_->Judge(1, now_), QuarantineVerdict::kAlone);
  quarantine_->OnUpstreamDeath({1}, now_);
  EXPECT_EQ(quarantine_->Judge(1, now_), QuarantineVerdict::kRefused);
  quarantine_->OnSurvived(2, now_);
  EXPECT_EQ(quarantine_->Judge(2, now_), QuarantineVerdict::kClear);
}

TEST_F(ARequestThatKillsUpstreams, IsForgottenAfterAWhile) {
  quarantine_->OnUpstreamDeath({1}, now_);
  EXPECT_EQ(quarantine_->Judge(1, now_ + std::chrono::hours(1)),
            QuarantineVerdict::kClear);
}

}  // namespace
}  // namespace hibiscusglade
