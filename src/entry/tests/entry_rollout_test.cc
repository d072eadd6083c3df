#include <gtest/gtest.h>

#include "admission/admission_result_codes.h"
#include "entry/tests/entry_fixture.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry at the half of a rollout; z is of the target version.
class AnEntryDuringARollout : public AnEntry {
 protected:
  AnEntryDuringARollout() {
    rollout_.service = "plots";
    rollout_.target_version = "v2";
    rollout_.order = 4;
    rollout_.step = 2;
    rollout_.share_permille = 500;
    routes_.SetConfirmedAt(now_);
    Publish();
    entry_ = MakeEntry("e", 1,
                       {owners_, routes_, *chooser_, *metrics_,
                        NoCustomerLimits(), nullptr, &tally_});
  }

  void Publish() {
    std::vector<InstanceRecord> records = Instances();
    records[2].upstream_version = "v2";
    std::vector<SettingsFault> faults;
    routes_.Publish(std::make_shared<const RouteTable>(
        MakeConfigVersion(1, 0, kDocument, "", faults),
        MeshView{records, {{"plots", rollout_}}}));
  }

  /// Begins calls until one is for the target version.
  void BeginAtTarget() {
    do {
      Begin("/reads/1");
      if (owners_.started[0].first != "z") Answer(Attempt(0), "body");
    } while (owners_.started[0].first != "z");
  }

  OutcomeCounts Counts(bool target) {
    OutcomeCounts sum;
    for (const auto& [key, counts] : tally_.CountsOf("plots", 4)) {
      if (key.target == target) sum += counts;
    }
    return sum;
  }

  Rollout rollout_;
  RolloutTally tally_;
};

TEST_F(AnEntryDuringARollout, HoldsTheShareAndCountsBothVersions) {
  for (int i = 0; i < 40; ++i) {
    Begin("/reads/1");
    Answer(Attempt(0), "body");
  }
  EXPECT_EQ(Counts(true).requests, 20u);
  EXPECT_EQ(Counts(false).requests, 20u);
  EXPECT_EQ(Counts(true).failures, 0u);
}

TEST_F(AnEntryDuringARollout, RetriesAtTheOthersWhatTheTargetRefused) {
  BeginAtTarget();
  Refuse(Attempt(0), AdmissionCode::kQueueFull, Certainty::kNotRun);
  ASSERT_EQ(owners_.started.size(), 2u);
  EXPECT_NE(owners_.started[1].first, "z");
  Answer(Attempt(1), "body");
  EXPECT_EQ(received_, "head 200 body end");
  EXPECT_EQ(Counts(true).requests, 0u);
}

TEST_F(AnEntryDuringARollout, NeverRetriesAtTheTargetWhatTheOthersRefused) {
  for (int i = 0; i < 20; ++i) {
    Begin("/tags/1");
    if (owners_.started[0].first == "z") continue;
    Refuse(Attempt(0), AdmissionCode::kQueueFull, Certainty::kNotRun);
    for (const auto& [owner, attempt] : owners_.started) EXPECT_NE(owner, "z");
  }
}

TEST_F(AnEntryDuringARollout, SendsTheTargetNothingOnceItFailsHere) {
  for (int i = 0; i < 5; ++i) {
    BeginAtTarget();
    entry_->OnAnswerHead(Attempt(0), {500, {}, -1}, kLoad, now_);
    entry_->OnAnswerEnd(Attempt(0), {0, 0, 0}, kLoad, now_);
  }
  EXPECT_EQ(Counts(true).failures, 5u);
  for (int i = 0; i < 20; ++i) {
    Begin("/reads/1");
    EXPECT_NE(owners_.started[0].first, "z");
    Answer(Attempt(0), "body");
  }
}

}  // namespace
}  // namespace hibiscusglade
