#include "control/internal/group_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AProposal : public testing::Test {
 protected:
  AProposal() {
    client_.Submit(GroupId::kVersions, "x", false, now_,
                   [this](const ReplicaResult& result) { result_ = result; });
  }

  void RefuseLastAttempt() {
    client_.OnAnswer({last_request_id_, ConsensusCode::kNotLeader, "", ""},
                     now_);
  }

  /// Refuses every attempt until the client gives up.
  void RefuseUntilTheEnd() {
    const Instant end = now_ + seconds(5);
    for (; now_ < end; now_ += milliseconds(10)) {
      client_.OnTick(now_);
      RefuseLastAttempt();
    }
  }

  Instant now_ = Instant(seconds(1000));
  uint64_t last_request_id_ = 0;
  ReplicaResult result_;
  GroupClient client_{{"a", "b"},
                      [this](const std::string&, const GroupRequest& request) {
                        last_request_id_ = request.request_id;
                      }};
};

TEST_F(AProposal, IsNotAcceptedWhenEveryTryWasRefused) {
  RefuseLastAttempt();
  RefuseUntilTheEnd();
  EXPECT_EQ(result_.error, ConsensusCode::kNoQuorum);
}

TEST_F(AProposal, IsUnknownWhenTheFirstTryWasNeverAnswered) {
  now_ += seconds(1);
  client_.OnTick(now_);
  RefuseUntilTheEnd();
  EXPECT_EQ(result_.error, ConsensusCode::kOutcomeUnknown);
}

/// A daemon that has just started reads its floor.
class AReadWithoutAKnownLeader : public testing::Test {
 protected:
  AReadWithoutAKnownLeader() {
    client_.Submit(GroupId::kVersions, "x", true, now_,
                   [this](const ReplicaResult& result) { result_ = result; });
  }

  /// @param replica number of the replica that does not lead.
  void Redirect(size_t replica, const std::string& leader) {
    client_.OnAnswer({sent_[replica].second.request_id,
                      ConsensusCode::kNotLeader, "", leader},
                     now_);
  }

  Instant now_ = Instant(seconds(1000));
  std::vector<std::pair<std::string, GroupRequest>> sent_;
  std::optional<ReplicaResult> result_;
  GroupClient client_{
      {"a", "b", "c", "d", "e"},
      [this](const std::string& replica, const GroupRequest& request) {
        sent_.emplace_back(replica, request);
      }};
};

TEST_F(AReadWithoutAKnownLeader, IsAnsweredByTheOneOfSeveralThatLeads) {
  ASSERT_EQ(sent_.size(), 3u);
  Redirect(0, "");
  client_.OnAnswer({sent_[2].second.request_id, {}, "7", ""}, now_);
  ASSERT_TRUE(result_.has_value());
  EXPECT_EQ(result_->result, "7");
}

TEST_F(AReadWithoutAKnownLeader, FollowsTheNameOfTheLeaderWithoutAPause) {
  Redirect(1, "e");
  ASSERT_EQ(sent_.size(), 4u);
  EXPECT_EQ(sent_.back().first, "e");
}

TEST_F(AReadWithoutAKnownLeader, PausesWhenReplicasNameEachOther) {
  for (int i = 0; i < 3; ++i) Redirect(sent_.size() - 1, i % 2 ? "a" : "e");
  ASSERT_EQ(sent_.size(), 6u);
  Redirect(5, "a");
  client_.OnTick(now_);
  EXPECT_EQ(sent_.size(), 6u);
}

class AClientOfTheClaims : public testing::Test {
 protected:
  struct Sent {
    std::string replica;
    GroupRequest request;
  };

  void Submit() {
    client_.Submit(GroupId::kClaims, "claim", false, now_,
                   [this](const ReplicaResult& result) { result_ = result; });
  }

  void Wait(milliseconds time) {
    now_ += time;
    client_.OnTick(now_);
  }

  void Answer(const Sent& to, std::error_code error,
              const std::string& leader = "") {
    client_.OnAnswer({to.request.request_id, error, "done", leader}, now_);
  }

  std::vector<Sent> sent_;
  std::optional<ReplicaResult> result_;
  Instant now_{std::chrono::seconds(1)};
  GroupClient client_{
      {"x", "y"},
      [this](const std::string& replica, const GroupRequest& request) {
        sent_.push_back({replica, request});
      }};
};

TEST_F(AClientOfTheClaims, SendsACommandOnlyToAReplicaThatLeads) {
  Submit();
  EXPECT_TRUE(sent_.back().request.read);
  Answer(sent_.back(), {});
  EXPECT_FALSE(sent_.back().request.read);
  EXPECT_EQ(sent_.back().request.command, "claim");
  EXPECT_FALSE(result_.has_value());
  Answer(sent_.back(), {});
  ASSERT_TRUE(result_.has_value());
  EXPECT_FALSE(result_->error);
}

TEST_F(AClientOfTheClaims, ReportsNoQuorumWhenNoReplicaLeads) {
  Submit();
  for (int i = 0; i < 20; ++i) Wait(milliseconds(200));
  ASSERT_TRUE(result_.has_value());
  EXPECT_EQ(result_->error, ConsensusCode::kNoQuorum);
  for (const Sent& sent : sent_) EXPECT_TRUE(sent.request.read);
}

TEST_F(AClientOfTheClaims, ReportsUnknownWhenAnotherReplicaThenDoesNotLead) {
  Submit();
  Answer(sent_.back(), ConsensusCode::kNotLeader, "x");
  Wait(milliseconds(100));
  // x receives the command and does not answer; y then answers that it does
  // not lead.
  for (int i = 0; i < 20 && !result_.has_value(); ++i) {
    const Sent last = sent_.back();
    if (last.request.read) Answer(last, ConsensusCode::kNotLeader);
    Wait(milliseconds(200));
  }
  ASSERT_TRUE(result_.has_value());
  EXPECT_EQ(result_->error, ConsensusCode::kOutcomeUnknown);
}

TEST_F(AClientOfTheClaims, DoesNotTakeALateProbeAnswerForTheCommandsAnswer) {
  Submit();
  const Sent late_probe = sent_.back();
  Wait(milliseconds(800));
  Answer(sent_.back(), {});
  Answer(late_probe, {});
  EXPECT_FALSE(result_.has_value());
}

}  // namespace
}  // namespace hibiscusglade
