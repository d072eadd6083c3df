#include "control/internal/group_client.h"

#include <gtest/gtest.h>

#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AProposal : public testing::Test {
 protected:
  AProposal() {
    client_.Submit(GroupId::kVersions, "x", false, now_,
                   [this](const ReplicaResult& given) { result_ = given; });
  }

  void RefuseLastTry() {
    client_.OnAnswer({last_, ConsensusCode::kNotLeader, "", ""}, now_);
  }

  /// Refuses every try until the client gives up.
  void RefuseUntilTheEnd() {
    const Instant end = now_ + seconds(5);
    for (; now_ < end; now_ += milliseconds(10)) {
      client_.OnTick(now_);
      RefuseLastTry();
    }
  }

  Instant now_ = Instant(seconds(1000));
  uint64_t last_ = 0;
  ReplicaResult result_;
  GroupClient client_{{"a", "b"},
                      [this](const std::string&, const GroupRequest& request) {
                        last_ = request.request;
                      }};
};

TEST_F(AProposal, IsNotAcceptedWhenEveryTryWasRefused) {
  RefuseLastTry();
  RefuseUntilTheEnd();
  EXPECT_EQ(result_.error, ConsensusCode::kNoQuorum);
}

TEST_F(AProposal, IsUnknownWhenTheFirstTryWasNeverAnswered) {
  now_ += seconds(1);
  client_.OnTick(now_);
  RefuseUntilTheEnd();
  EXPECT_EQ(result_.error, ConsensusCode::kOutcomeUnknown);
}

}  // namespace
}  // namespace hibiscusglade
