#include "control/internal/leave_recorder.h"

#include <gtest/gtest.h>

#include "consensus/consensus_result_codes.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

constexpr int64_t kStart = 1000;

/// Guards against leaves that were acknowledged and are forgotten when all
/// processes are killed: each acknowledgement waits for the replicas.
class ALeaveToBeRecorded : public testing::Test {
 protected:
  /// @return the position of the outcome, filled once it is known.
  size_t Record(uint64_t sequence, int64_t started_at_ms = kStart) {
    const size_t position = outcomes_.size();
    outcomes_.emplace_back();
    recorder_.Record(
        {"i-1", started_at_ms, sequence},
        [this, position](bool recorded) { outcomes_[position] = recorded; });
    return position;
  }

  void Answer(size_t submission, std::error_code error, int code = 0) {
    wire::PatchVerdict verdict;
    verdict.set_code(code);
    submitted_[submission].second({error, verdict.SerializeAsString()});
  }

  void Serve(uint64_t sequence) {
    UpstreamAnnouncement upstream;
    upstream.id = "i-1";
    upstream.started_at_ms = kStart;
    upstream.sequence = sequence;
    recorder_.OnServing(upstream);
  }

  wire::UpstreamLeave Submitted(size_t submission) const {
    wire::PatchCommand command;
    command.ParseFromString(submitted_[submission].first);
    return command.leave();
  }

  std::vector<std::optional<bool>> outcomes_;
  std::vector<std::pair<std::string, ReplicaCallback>> submitted_;
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  LeaveRecorder recorder_{
      "x", *metrics_, [this](std::string command, ReplicaCallback done) {
        submitted_.emplace_back(std::move(command), std::move(done));
      }};
};

TEST_F(ALeaveToBeRecorded, IsAcknowledgedOnceTheReplicasHaveIt) {
  Record(kAfterLeave);
  EXPECT_EQ(outcomes_[0], std::nullopt);
  EXPECT_EQ(Submitted(0).instance(), "x");
  EXPECT_EQ(Submitted(0).upstream(), "i-1");
  EXPECT_EQ(Submitted(0).started_at_ms(), kStart);
  EXPECT_EQ(Submitted(0).sequence(), kAfterLeave);
  Answer(0, {});
  EXPECT_EQ(outcomes_[0], true);
}

TEST_F(ALeaveToBeRecorded, IsNotAcknowledgedWithoutAMajority) {
  Record(5);
  Answer(0, ConsensusCode::kNoQuorum);
  EXPECT_EQ(outcomes_[0], false);
  EXPECT_NE(metrics_->Exposition().find("leaves_unrecorded_total 1"),
            std::string::npos);
}

TEST_F(ALeaveToBeRecorded, IsNotAcknowledgedWhenTheOutcomeIsUnknown) {
  Record(5);
  Answer(0, ConsensusCode::kOutcomeUnknown);
  EXPECT_EQ(outcomes_[0], false);
}

TEST_F(ALeaveToBeRecorded, IsSubmittedAgainAfterAFailure) {
  Record(5);
  Answer(0, ConsensusCode::kNoQuorum);
  Record(6);
  ASSERT_EQ(submitted_.size(), 2U);
  Answer(1, {});
  EXPECT_EQ(outcomes_[1], true);
}

TEST_F(ALeaveToBeRecorded, IsSubmittedOnceWhileTheUpstreamDrains) {
  Record(5);
  Record(6);
  EXPECT_EQ(submitted_.size(), 1U);
  Answer(0, {});
  EXPECT_EQ(outcomes_[0], true);
  EXPECT_EQ(outcomes_[1], true);
  Record(7);
  Record(kAfterLeave);
  EXPECT_EQ(submitted_.size(), 1U);
  EXPECT_EQ(outcomes_[3], true);
}

TEST_F(ALeaveToBeRecorded, IsOfOneStartOnly) {
  Record(5);
  Answer(0, {});
  Record(2, kStart + 1);
  EXPECT_EQ(submitted_.size(), 2U);
  EXPECT_EQ(outcomes_[1], std::nullopt);
}

TEST_F(ALeaveToBeRecorded, IsSubmittedAgainWhenTheUpstreamHasServedMeanwhile) {
  Record(5);
  Answer(0, {});
  Serve(6);
  Record(7);
  ASSERT_EQ(submitted_.size(), 2U);
  EXPECT_EQ(Submitted(1).sequence(), 7U);
  EXPECT_EQ(outcomes_[1], std::nullopt);
}

TEST_F(ALeaveToBeRecorded, IsNotCoveredByOneThatArrivesLate) {
  Serve(6);
  Record(5);
  Answer(0, {});
  Record(7);
  EXPECT_EQ(submitted_.size(), 2U);
}

TEST_F(ALeaveToBeRecorded, DoesNotJoinOneFromBeforeTheUpstreamServed) {
  Record(5);
  Serve(6);
  Record(7);
  ASSERT_EQ(submitted_.size(), 2U);
  Answer(0, {});
  EXPECT_EQ(outcomes_[1], std::nullopt);
}

TEST_F(ALeaveToBeRecorded, IsKnownFromTheProcessBefore) {
  recorder_.OnLeavesRead({{"i-1", kStart, 5}});
  Record(6);
  EXPECT_EQ(outcomes_[0], true);
  EXPECT_TRUE(submitted_.empty());
}

/// An earlier release takes the command for a patch without an id.
TEST_F(ALeaveToBeRecorded, IsAcknowledgedUnderALeaderThatRecordsNone) {
  Record(5);
  Answer(0, {}, static_cast<int>(VersionsCode::kMissingPatchId));
  EXPECT_EQ(outcomes_[0], true);
}

TEST_F(ALeaveToBeRecorded, IsNotAcknowledgedWhenItIsRefused) {
  Record(5);
  Answer(0, {}, static_cast<int>(VersionsCode::kDamagedCommand));
  EXPECT_EQ(outcomes_[0], false);
}

}  // namespace
}  // namespace hibiscusglade
