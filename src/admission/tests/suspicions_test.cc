#include <gtest/gtest.h>

#include "admission/quarantine.h"
#include "admission/suspicion_inquiry.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Peers = std::vector<std::string>;

class AnInquiry : public testing::Test {
 protected:
  Peers Ask() {
    return inquiry_.Due(now_) ? inquiry_.ToAsk(peers_, now_) : Peers{};
  }

  SuspicionInquiry inquiry_;
  Instant now_{seconds(1000)};
  Peers peers_ = {"a", "b", "c", "d", "e"};
};

TEST_F(AnInquiry, AsksNobodyWhileNoUpstreamIsUsed) {
  EXPECT_FALSE(inquiry_.Due(now_));
  EXPECT_FALSE(inquiry_.HoldsRuns(now_));
}

TEST_F(AnInquiry, HoldsRunsUntilThoseAskedHaveAnswered) {
  inquiry_.Begin(now_);
  EXPECT_EQ(Ask(), Peers({"a", "b", "c"}));
  for (const char* peer : {"a", "b", "d", "c"}) {
    EXPECT_TRUE(inquiry_.HoldsRuns(now_)) << peer;
    inquiry_.OnAnswer(peer);
  }
  EXPECT_FALSE(inquiry_.HoldsRuns(now_));
  now_ += minutes(1);
  EXPECT_EQ(Ask(), Peers());
}

TEST_F(AnInquiry, HoldsRunsForAShortTimeWhenNobodyAnswers) {
  inquiry_.Begin(now_);
  Ask();
  now_ += milliseconds(300);
  EXPECT_FALSE(inquiry_.HoldsRuns(now_));
  Ask();
  EXPECT_FALSE(inquiry_.HoldsRuns(now_));
}

TEST_F(AnInquiry, AsksOthersEverMoreSeldomUntilOneAnswers) {
  inquiry_.Begin(now_);
  EXPECT_EQ(Ask(), Peers({"a", "b", "c"}));
  now_ += milliseconds(300);
  EXPECT_EQ(Ask(), Peers({"d", "e"}));
  now_ += milliseconds(300);
  EXPECT_EQ(Ask(), Peers());
  int rounds = 0;
  for (const Instant end = now_ + minutes(10); now_ < end;
       now_ += milliseconds(10)) {
    if (!Ask().empty()) ++rounds;
  }
  EXPECT_GE(rounds, 20);
  EXPECT_LE(rounds, 30);
  inquiry_.OnAnswer("d");
  now_ += minutes(1);
  EXPECT_EQ(Ask(), Peers());
  EXPECT_FALSE(inquiry_.Due(now_));
}

TEST_F(AnInquiry, WaitsForTheFirstPeerThatItMeets) {
  const Peers known = std::exchange(peers_, {});
  inquiry_.Begin(now_);
  EXPECT_EQ(Ask(), Peers());
  EXPECT_FALSE(inquiry_.HoldsRuns(now_));
  now_ += seconds(20);
  peers_ = known;
  EXPECT_EQ(Ask().size(), 3u);
  EXPECT_TRUE(inquiry_.HoldsRuns(now_));
  inquiry_.End();
  EXPECT_FALSE(inquiry_.HoldsRuns(now_));
}

class ADaemonThatWasRestarted : public testing::Test {
 protected:
  Instant now_{seconds(1000)};
  std::unique_ptr<Quarantine> other_ = MakeQuarantine();
  std::unique_ptr<Quarantine> restarted_ = MakeQuarantine();
};

TEST_F(ADaemonThatWasRestarted, LearnsWhatOthersSuspect) {
  other_->OnUpstreamDeath({1}, 1, now_);
  other_->OnUpstreamDeath({2}, 1, now_);
  other_->OnUpstreamDeath({1}, 1, now_);
  now_ += minutes(6);
  const auto suspicions = other_->Suspicions(now_);
  EXPECT_EQ(suspicions, (std::vector<QuarantineNotice>{{1, 2, minutes(4)},
                                                       {2, 1, minutes(4)}}));
  for (const QuarantineNotice& notice : suspicions) {
    EXPECT_FALSE(restarted_->OnNotice(notice, now_).has_value());
  }
  EXPECT_EQ(restarted_->Decide(1, now_), QuarantineDecision::kRefuse);
  EXPECT_EQ(restarted_->Decide(2, now_), QuarantineDecision::kRunAlone);
  now_ += minutes(4);
  EXPECT_EQ(restarted_->Decide(1, now_), QuarantineDecision::kRun);
  EXPECT_TRUE(other_->Suspicions(now_).empty());
}

TEST_F(ADaemonThatWasRestarted, IsToldMoreThanItReports) {
  other_->OnUpstreamDeath({1}, 1, now_);
  other_->OnUpstreamDeath({1}, 1, now_);
  const auto reported = restarted_->OnUpstreamDeath({1}, 1, now_);
  const auto more = other_->OnNotice(reported.at(0), now_);
  ASSERT_TRUE(more.has_value());
  EXPECT_FALSE(restarted_->OnNotice(*more, now_).has_value());
  EXPECT_EQ(restarted_->Decide(1, now_), QuarantineDecision::kRefuse);
}

}  // namespace
}  // namespace hibiscusglade
