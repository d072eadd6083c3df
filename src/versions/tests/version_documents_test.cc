#include <gtest/gtest.h>

#include "base/compression.h"
#include "versions/version_ledger.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

std::string DocumentWith(const std::string& service, int routes = 0) {
  std::string text = R"({"services":{")" + service +
                     R"(":{}},"classes":{"c":{}},"limits":{},"routes":{)";
  for (int i = 0; i < routes; ++i) {
    text += (i == 0 ? "" : ",") + std::string("\"r") + std::to_string(i) +
            R"(":{"host":"a.example","path_prefix":"/)" + std::to_string(i) +
            R"(/","service":")" + service + R"(","class":"c"})";
  }
  return text + "}}";
}

class ALedgerOfDocuments : public testing::Test {
 protected:
  wire::PatchVerdict Propose(uint64_t number, uint64_t base,
                             const std::string& document) {
    wire::PatchCommand command;
    command.set_patch_id("order-" + std::to_string(number) + document);
    if (command.patch_id().size() > 100) {
      command.set_patch_id("order-" + std::to_string(number) + "-" +
                           std::to_string(document.size()));
    }
    command.set_number(number);
    command.set_base(base);
    command.set_document(Compress(document));
    command.set_source(Compress("source of " + std::to_string(number)));
    wire::PatchVerdict verdict;
    verdict.ParseFromString(ledger_.Apply(command.SerializeAsString()));
    return verdict;
  }

  std::string LatestSource() {
    wire::VersionQuery query;
    query.set_kind(wire::VersionQuery::LATEST);
    wire::VersionQueryAnswer answer;
    answer.ParseFromString(ledger_.Read(query.SerializeAsString()));
    return Decompress(answer.versions(0).source(), 1000).value_or("");
  }

  static int NumberOf(VersionsCode code) { return static_cast<int>(code); }

  VersionLedger ledger_{[](const ConfigVersionPtr&) {}};
};

TEST_F(ALedgerOfDocuments, TakesNumbersThatRiseUnevenly) {
  EXPECT_EQ(Propose(4, 0, DocumentWith("a")).code(), 0);
  EXPECT_EQ(Propose(9, 4, DocumentWith("b")).code(), 0);
  EXPECT_EQ(ledger_.Latest()->number, 9u);
  EXPECT_EQ(ledger_.Latest()->parent, 4u);
  EXPECT_TRUE(ledger_.Latest()->document.services.contains("b"));
  EXPECT_EQ(LatestSource(), "source of 9");
}

TEST_F(ALedgerOfDocuments, LetsOneOfTwoOnTheSameBaseWin) {
  Propose(4, 0, DocumentWith("a"));
  EXPECT_EQ(Propose(6, 4, DocumentWith("b")).code(), 0);
  EXPECT_EQ(Propose(6, 4, DocumentWith("c")).code(),
            NumberOf(VersionsCode::kConflict));
  EXPECT_EQ(Propose(7, 4, DocumentWith("d")).code(),
            NumberOf(VersionsCode::kConflict));
  EXPECT_TRUE(ledger_.Latest()->document.services.contains("b"));
}

TEST_F(ALedgerOfDocuments, RefusesNumbersThatAreNotAboveTheLatest) {
  Propose(4, 0, DocumentWith("a"));
  EXPECT_EQ(Propose(4, 4, DocumentWith("b")).code(),
            NumberOf(VersionsCode::kInvalidDocument));
  EXPECT_EQ(Propose(3, 4, DocumentWith("b")).code(),
            NumberOf(VersionsCode::kInvalidDocument));
}

class AResentDocument : public ALedgerOfDocuments {};

TEST_F(AResentDocument, IsAcknowledgedAgainAfterLaterVersions) {
  const auto first = Propose(4, 0, DocumentWith("a"));
  Propose(5, 4, DocumentWith("b"));
  EXPECT_EQ(Propose(4, 0, DocumentWith("a")).SerializeAsString(),
            first.SerializeAsString());
  EXPECT_EQ(ledger_.Latest()->number, 5u);
}

TEST_F(AResentDocument, IsAcknowledgedAgainAfterARestore) {
  Propose(4, 0, DocumentWith("a"));
  VersionLedger restored([](const ConfigVersionPtr&) {});
  ASSERT_TRUE(restored.Restore(ledger_.Snapshot()));
  ledger_.Restore(restored.Snapshot());
  EXPECT_EQ(Propose(4, 0, DocumentWith("a")).code(), 0);
  EXPECT_EQ(LatestSource(), "source of 4");
}

TEST_F(AResentDocument, IsCheckedAgainAfterARefusal) {
  EXPECT_EQ(Propose(6, 5, DocumentWith("b")).code(),
            NumberOf(VersionsCode::kConflict));
  Propose(5, 0, DocumentWith("a"));
  EXPECT_EQ(Propose(6, 5, DocumentWith("b")).code(), 0);
}

class AStormOfLargeDocuments : public ALedgerOfDocuments {};

TEST_F(AStormOfLargeDocuments, LeavesABoundedHistory) {
  uint64_t base = 0;
  for (uint64_t number = 1; number <= 120; ++number) {
    // The service name differs in each version, which changes every route.
    const auto verdict =
        Propose(number, base, DocumentWith("s" + std::to_string(number), 300));
    ASSERT_EQ(verdict.code(), 0);
    base = number;
  }
  constexpr size_t kMaxBytes = size_t{4} << 20U;
  EXPECT_LT(ledger_.Snapshot().size(), kMaxBytes);
  VersionLedger restored([](const ConfigVersionPtr&) {});
  ASSERT_TRUE(restored.Restore(ledger_.Snapshot()));
  EXPECT_EQ(restored.Latest()->text, ledger_.Latest()->text);
}

}  // namespace
}  // namespace hibiscusglade
