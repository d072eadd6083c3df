#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "versions/version_ledger.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

wire::UpstreamLeave Leave(const std::string& instance,
                          const std::string& upstream, int64_t started_at_ms,
                          uint64_t sequence) {
  wire::UpstreamLeave leave;
  leave.set_instance(instance);
  leave.set_upstream(upstream);
  leave.set_started_at_ms(started_at_ms);
  leave.set_sequence(sequence);
  return leave;
}

class ALedgerOfLeaves : public testing::Test {
 protected:
  int Record(const wire::UpstreamLeave& leave) {
    wire::PatchCommand command;
    *command.mutable_leave() = leave;
    wire::PatchVerdict verdict;
    verdict.ParseFromString(ledger_.Apply(command.SerializeAsString()));
    return verdict.code();
  }

  /// @return what a daemon that has started again reads, as "id:sequence".
  static std::vector<std::string> Of(const VersionLedger& ledger,
                                     const std::string& instance) {
    wire::VersionQuery query;
    query.set_kind(wire::VersionQuery::LATEST_NUMBER);
    query.set_leaves_of(instance);
    wire::VersionQueryAnswer answer;
    answer.ParseFromString(ledger.Read(query.SerializeAsString()));
    std::vector<std::string> leaves;
    for (const wire::UpstreamLeave& leave : answer.leaves()) {
      leaves.push_back(leave.upstream() + ":" +
                       std::to_string(leave.sequence()));
    }
    return leaves;
  }
  std::vector<std::string> Of(const std::string& instance) const {
    return Of(ledger_, instance);
  }

  using Leaves = std::vector<std::string>;

  VersionLedger ledger_{[](const ConfigVersionPtr&) {}};
};

TEST_F(ALedgerOfLeaves, AnswersWithThoseOfTheInstanceThatAsks) {
  EXPECT_EQ(Record(Leave("x", "i-1", 1000, 5)), 0);
  EXPECT_EQ(Record(Leave("y", "i-2", 1000, 7)), 0);
  EXPECT_EQ(Of("x"), Leaves{"i-1:5"});
  EXPECT_EQ(Of("z"), Leaves{});
}

TEST_F(ALedgerOfLeaves, AddsNothingToOtherReads) {
  Record(Leave("x", "i-1", 1000, 5));
  EXPECT_EQ(Of(""), Leaves{});
}

TEST_F(ALedgerOfLeaves, KeepsTheHighestSequenceOfAnIncarnation) {
  Record(Leave("x", "i-1", 1000, 5));
  Record(Leave("x", "i-1", 1000, 9));
  Record(Leave("x", "i-1", 1000, 7));
  EXPECT_EQ(Of("x"), Leaves{"i-1:9"});
}

TEST_F(ALedgerOfLeaves, TellsStartsUnderOneIdApart) {
  Record(Leave("x", "i-1", 1000, 5));
  Record(Leave("x", "i-1", 3000, 2));
  EXPECT_EQ(Of("x"), (Leaves{"i-1:5", "i-1:2"}));
}

TEST_F(ALedgerOfLeaves, KeepsTheLastOnesOfAnInstance) {
  for (int i = 1; i <= 6; ++i) {
    Record(Leave("x", "i-" + std::to_string(i), 1000 * i, 1));
  }
  EXPECT_EQ(Of("x"), (Leaves{"i-3:1", "i-4:1", "i-5:1", "i-6:1"}));
}

TEST_F(ALedgerOfLeaves, DropsTheInstanceThatWasLongestWithoutOne) {
  constexpr int kInstances = 10000;
  for (int i = 0; i < kInstances; ++i) {
    Record(Leave("x" + std::to_string(i), "i", 1000, 1));
  }
  Record(Leave("x0", "i", 2000, 1));
  Record(Leave("another", "i", 1000, 1));
  EXPECT_EQ(Of("x0").size(), 2U);
  EXPECT_EQ(Of("x1"), Leaves{});
  EXPECT_EQ(Of("another"), Leaves{"i:1"});
}

TEST_F(ALedgerOfLeaves, GivesTheSameAnswersAfterARestore) {
  for (int i = 1; i <= 6; ++i) {
    Record(Leave("x", "i-" + std::to_string(i), 1000 * i, 1));
    Record(Leave("y", "i-" + std::to_string(i), 1000 * i, 2));
  }
  VersionLedger restored([](const ConfigVersionPtr&) {});
  ASSERT_TRUE(restored.Restore(ledger_.Snapshot()));
  EXPECT_EQ(Of(restored, "x"), Of("x"));
  EXPECT_EQ(Of(restored, "y"), Of("y"));
  EXPECT_EQ(restored.Snapshot(), ledger_.Snapshot());
}

TEST_F(ALedgerOfLeaves, LeavesTheVersionsAlone) {
  Record(Leave("x", "i-1", 1000, 5));
  EXPECT_EQ(ledger_.Latest()->number, 0U);
}

TEST_F(ALedgerOfLeaves, RefusesOneThatNamesNoUpstream) {
  EXPECT_EQ(Record(Leave("x", "", 1000, 5)),
            static_cast<int>(VersionsCode::kDamagedCommand));
  EXPECT_EQ(Of("x"), Leaves{});
}

}  // namespace
}  // namespace hibiscusglade
