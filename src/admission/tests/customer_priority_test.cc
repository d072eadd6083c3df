#include <gtest/gtest.h>

#include "admission/admission.h"
#include "admission/admission_result_codes.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// One slot, busy, and a queue for two. All requests are of one class whose
/// priority is 5; some are of customers with a priority of their own.
class AFullUpstreamWithRankedCustomers : public testing::Test {
 protected:
  AFullUpstreamWithRankedCustomers() {
    AdmissionConfig config{1, 2, {}, {}};
    config.classes["order"] = {"order", 0, 100, milliseconds(1000), 5};
    config.classes["report"] = {"report", 0, 100, milliseconds(1000), 6};
    admission_->Configure(config, now_);
    running_ = Request("order", std::nullopt).admitted.at(0);
  }

  AdmissionEffects Request(const std::string& request_class,
                           std::optional<uint32_t> priority,
                           const std::string& customer = "") {
    SlotRequest request{
        ++last_, request_class, "caller", now_ + milliseconds(5000), {}};
    request.customer = customer;
    request.priority = priority;
    return admission_->OnRequest(request, now_);
  }

  SlotRequestId RunNext() {
    running_ = admission_->OnFinished(running_, milliseconds(100), now_)
                   .admitted.at(0);
    return running_;
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  SlotRequestId last_ = 0;
  SlotRequestId running_ = 0;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
};

TEST_F(AFullUpstreamWithRankedCustomers, RunsTheHigherRankFirst) {
  Request("order", 3, "low");
  Request("order", 8, "high");
  EXPECT_EQ(RunNext(), 3u);
  EXPECT_EQ(RunNext(), 2u);
}

TEST_F(AFullUpstreamWithRankedCustomers, PutsTheCustomersRankBeforeTheClasss) {
  Request("report", 1, "low");
  Request("order", std::nullopt);
  EXPECT_EQ(RunNext(), 3u);
}

TEST_F(AFullUpstreamWithRankedCustomers, ShedsTheLowestRankOfAClass) {
  Request("order", 3, "low");
  Request("order", std::nullopt);
  const AdmissionEffects effects = Request("order", 8, "high");
  ASSERT_EQ(effects.refused.size(), 1u);
  EXPECT_EQ(effects.refused[0].id, 2u);
  EXPECT_EQ(effects.refused[0].code, AdmissionCode::kShed);
}

TEST_F(AFullUpstreamWithRankedCustomers, WaitsOnlyBehindItsOwnRankAndAbove) {
  for (int i = 0; i < 9; ++i) {
    const SlotRequestId done = running_;
    Request("order", std::nullopt);
    running_ =
        admission_->OnFinished(done, milliseconds(400), now_).admitted.at(0);
  }
  Request("order", 3, "low");
  Request("order", 3, "low");
  // Behind the two it would wait for 1,200 ms, longer than it may.
  EXPECT_EQ(Request("order", 3, "low").refused.size(), 1u);
  EXPECT_EQ(Request("order", 8, "high").refused.at(0).code,
            AdmissionCode::kShed);
}

}  // namespace
}  // namespace hibiscusglade
