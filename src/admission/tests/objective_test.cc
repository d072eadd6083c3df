#include <gtest/gtest.h>

#include "admission/admission.h"
#include "admission/admission_result_codes.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// Two slots; orders take 100 ms, the calls that orders elsewhere wait for
/// 20 ms, both of the same priority. The loads are those of the order service
/// of a quoting site at three times its traffic.
class ASaturatedUpstream : public testing::Test {
 protected:
  ASaturatedUpstream() {
    AdmissionConfig config;
    config.slots = 2;
    config.max_queue = 64;
    config.classes["order"] = {"order", 0, 100, milliseconds(300), 8};
    config.classes["call"] = {"call", 0, 100, milliseconds(100), 8};
    admission_->Configure(config, now_);
    Learn("order", milliseconds(100));
    Learn("call", milliseconds(20));
    for (int i = 0; i < 2; ++i) running_.push_back(Ask("order").admitted[0]);
  }

  void Learn(const std::string& request_class, Duration time) {
    for (int i = 0; i < 9; ++i) {
      const Ticket ticket = Ask(request_class).admitted.at(0);
      now_ += time;
      admission_->OnFinished(ticket, time, now_);
    }
  }

  AdmissionEffects Ask(const std::string& request_class) {
    const Duration objective =
        request_class == "order" ? milliseconds(300) : milliseconds(100);
    return admission_->OnRequest(
        {++last_, request_class, "caller", now_ + milliseconds(1000),
         now_ + objective, Duration{}},
        now_);
  }

  /// The oldest running request ends.
  AdmissionEffects Finish() {
    now_ += milliseconds(50);
    const Ticket ticket = running_.front();
    running_.erase(running_.begin());
    AdmissionEffects effects =
        admission_->OnFinished(ticket, milliseconds(100), now_);
    for (Ticket admitted : effects.admitted) running_.push_back(admitted);
    return effects;
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  Ticket last_ = 0;
  std::vector<Ticket> running_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
};

TEST_F(ASaturatedUpstream, QueuesNoMoreThanItCanAnswerWithinTheObjective) {
  int queued = 0;
  while (Ask("order").refused.empty()) ++queued;
  // Two slots end 20 orders a second; an order must start within 200 ms.
  EXPECT_EQ(queued, 4);
}

TEST_F(ASaturatedUpstream, RefusesAtOnceAndSaysWhenToComeBack) {
  AdmissionEffects effects;
  while (effects.refused.empty()) effects = Ask("order");
  EXPECT_EQ(effects.refused[0].code, AdmissionCode::kQueueFull);
  EXPECT_GT(effects.refused[0].retry_after, Duration{});
}

TEST_F(ASaturatedUpstream, RunsShortCallsBeforeOrdersThatCameEarlier) {
  Ask("order");
  Ask("order");
  Ask("call");
  EXPECT_EQ(Finish().admitted, std::vector<Ticket>{last_});
}

TEST_F(ASaturatedUpstream, TakesShortCallsThoughOrdersWait) {
  while (Ask("order").refused.empty()) {
  }
  EXPECT_TRUE(Ask("call").refused.empty());
}

TEST_F(ASaturatedUpstream, LetsNobodyWaitSoLongThatAFifthOfAllAnswersAreLate) {
  // Every fourth order takes 250 ms: orders that start after 200 ms are late
  // too often, though the median of 100 ms would leave them time.
  Finish();
  for (int i = 0; i < 24; ++i) {
    const Duration time = milliseconds(i % 4 == 0 ? 250 : 100);
    const Ticket ticket = Ask("order").admitted.at(0);
    now_ += time;
    admission_->OnFinished(ticket, time, now_);
  }
  Ask("order");
  Ask("order");
  now_ += milliseconds(51);
  EXPECT_EQ(admission_->OnTick(now_).refused.size(), 1u);
}

TEST_F(ASaturatedUpstream, ServesWhatIsLateOnlyFromSlotsThatAreFree) {
  const auto ask_late = [this] {
    return admission_->OnRequest(
        {++last_, "order", "caller", now_ + milliseconds(1000),
         now_ - milliseconds(1), Duration{}},
        now_);
  };
  EXPECT_EQ(ask_late().refused.size(), 1u);
  Finish();
  EXPECT_EQ(ask_late().admitted.size(), 1u);
}

TEST_F(ASaturatedUpstream, RefusesWhatBecameTooLateWhileItWaited) {
  Ask("order");
  now_ += milliseconds(201);
  const AdmissionEffects effects = admission_->OnTick(now_);
  ASSERT_EQ(effects.refused.size(), 1u);
  EXPECT_EQ(effects.refused[0].code, AdmissionCode::kWaitedTooLong);
}

}  // namespace
}  // namespace hibiscusglade
