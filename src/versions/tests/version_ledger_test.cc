#include "versions/version_ledger.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "versions/config_reader.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

constexpr char kAddService[] =
    R"([{"op":"add","path":"/services/plots","value":{}}])";

class ALedger : public testing::Test {
 protected:
  wire::PatchVerdict Propose(const std::string& id, uint64_t base,
                             const std::string& patch) {
    wire::PatchCommand command;
    command.set_patch_id(id);
    command.set_base(base);
    command.set_patch(patch);
    wire::PatchVerdict verdict;
    verdict.ParseFromString(ledger_.Apply(command.SerializeAsString()));
    return verdict;
  }

  static int NumberOf(VersionsCode code) { return static_cast<int>(code); }

  std::vector<uint64_t> accepted_;
  VersionLedger ledger_{[this](const ConfigVersionPtr& version) {
    accepted_.push_back(version->number);
  }};
};

TEST_F(ALedger, AcceptsAPatchAgainstTheLatestVersion) {
  wire::PatchVerdict verdict = Propose("p1", 0, kAddService);
  EXPECT_EQ(verdict.code(), 0);
  EXPECT_EQ(verdict.number(), 1u);
  EXPECT_TRUE(ledger_.Latest()->document.services.contains("plots"));
  EXPECT_EQ(accepted_, std::vector<uint64_t>{1});
}

TEST_F(ALedger, LetsOneOfTwoRacingPatchesWin) {
  Propose("p1", 0, kAddService);
  wire::PatchVerdict verdict = Propose("p2", 0, kAddService);
  EXPECT_EQ(verdict.code(), NumberOf(VersionsCode::kConflict));
  EXPECT_EQ(verdict.latest(), 1u);
}

TEST_F(ALedger, GivesAResentPatchItsFirstVerdict) {
  Propose("p1", 0, kAddService);
  Propose("p2", 1, R"([{"op":"remove","path":"/services/plots"}])");
  wire::PatchVerdict verdict = Propose("p1", 0, kAddService);
  EXPECT_EQ(verdict.code(), 0);
  EXPECT_EQ(verdict.number(), 1u);
  EXPECT_EQ(ledger_.Latest()->number, 2u);
}

TEST_F(ALedger, RefusesAnInvalidDocumentWholeAndNamesEveryFault) {
  wire::PatchVerdict verdict =
      Propose("p1", 0,
              R"([{"op":"add","path":"/routes/r","value":{"path_prefix":"x",
          "service":"none","class":"none"}}])");
  EXPECT_EQ(verdict.code(), NumberOf(VersionsCode::kInvalidDocument));
  EXPECT_EQ(verdict.faults_size(), 3);
  EXPECT_EQ(ledger_.Latest()->number, 0u);
}

TEST_F(ALedger, RefusesAPatchIdUsedForAnotherPatch) {
  Propose("p1", 0, kAddService);
  EXPECT_EQ(Propose("p1", 1, "[]").code(),
            NumberOf(VersionsCode::kPatchIdReused));
}

TEST_F(ALedger, ComesBackFromItsSnapshotWithVerdicts) {
  Propose("p1", 0, kAddService);
  VersionLedger other([](const ConfigVersionPtr&) {});
  ASSERT_TRUE(other.Restore(ledger_.Snapshot()));
  EXPECT_EQ(*other.Latest(), *ledger_.Latest());
  EXPECT_EQ(other.Snapshot(), ledger_.Snapshot());
}

class ALedgerWithAHistory : public ALedger {
 protected:
  static constexpr uint64_t kVersions = 2150;

  ALedgerWithAHistory() {
    for (uint64_t base = 0; base < kVersions; ++base) {
      const std::string queue = std::to_string(base % 1000);
      Propose("p" + std::to_string(base), base,
              R"([{"op":"add","path":"/services/plots","value":{"max_queue":)" +
                  queue + "}}]");
    }
  }

  wire::VersionQueryAnswer QueryVersion(uint64_t number) {
    wire::VersionQuery query;
    query.set_kind(wire::VersionQuery::NUMBER);
    query.set_number(number);
    wire::VersionQueryAnswer answer;
    answer.ParseFromString(ledger_.Read(query.SerializeAsString()));
    return answer;
  }

  wire::PatchVerdict RollForwardTo(uint64_t number) {
    wire::PatchCommand command;
    command.set_patch_id("restore");
    command.set_base(ledger_.Latest()->number);
    command.set_restore_content_of(number);
    wire::PatchVerdict verdict;
    verdict.ParseFromString(ledger_.Apply(command.SerializeAsString()));
    return verdict;
  }
};

TEST_F(ALedgerWithAHistory, GivesTheTextOfAnyKeptVersion) {
  for (uint64_t number : {kVersions - 1999, kVersions - 1001, kVersions}) {
    auto answer = QueryVersion(number);
    ASSERT_TRUE(answer.found()) << number;
    EXPECT_EQ(DigestOf(answer.versions(0).whole()),
              answer.versions(0).digest());
  }
  EXPECT_FALSE(QueryVersion(kVersions - 2000).found());
}

TEST_F(ALedgerWithAHistory, RollsForwardToAnOlderContent) {
  const std::string older = QueryVersion(2001).versions(0).whole();
  wire::PatchVerdict verdict = RollForwardTo(2001);
  EXPECT_EQ(verdict.number(), kVersions + 1);
  EXPECT_EQ(ledger_.Latest()->text, older);
  EXPECT_EQ(ledger_.Latest()->parent, kVersions);
}

TEST_F(ALedgerWithAHistory, RefusesToRollForwardToADroppedVersion) {
  EXPECT_EQ(RollForwardTo(1).code(), NumberOf(VersionsCode::kNoSuchVersion));
  EXPECT_EQ(ledger_.Latest()->number, kVersions);
}

TEST_F(ALedgerWithAHistory, RestoresASnapshotThatHoldsFewWholeTexts) {
  const std::string snapshot = ledger_.Snapshot();
  wire::VersionsSnapshot stored;
  ASSERT_TRUE(stored.ParseFromString(snapshot));
  int whole = 0;
  for (const auto& version : stored.versions()) {
    if (!version.whole().empty()) ++whole;
  }
  EXPECT_LE(whole, 21);
  VersionLedger other([](const ConfigVersionPtr&) {});
  ASSERT_TRUE(other.Restore(snapshot));
  EXPECT_EQ(*other.Latest(), *ledger_.Latest());
  EXPECT_EQ(other.Snapshot(), snapshot);
}

TEST_F(ALedgerWithAHistory, RefusesADamagedSnapshotUnchanged) {
  wire::VersionsSnapshot stored;
  ASSERT_TRUE(stored.ParseFromString(ledger_.Snapshot()));
  stored.mutable_versions(1990)->set_patch("[]");
  stored.mutable_versions(1999)->set_digest(1);
  EXPECT_FALSE(ledger_.Restore(stored.SerializeAsString()));
  EXPECT_EQ(ledger_.Latest()->number, kVersions);
}

TEST_F(ALedger, RefusesAPatchOrAnIdAboveItsLimit) {
  const std::string long_patch(300 << 10, ' ');
  EXPECT_EQ(Propose("p1", 0, long_patch + "[]").code(),
            NumberOf(VersionsCode::kInvalidPatch));
  EXPECT_EQ(Propose(std::string(200, 'p'), 0, kAddService).code(),
            NumberOf(VersionsCode::kInvalidPatch));
  EXPECT_EQ(ledger_.Latest()->number, 0u);
}

TEST_F(ALedger, BoundsTheMemoryOfVerdicts) {
  const std::string fault =
      R"([{"op":"add","path":"/)" + std::string(4000, 'x') + R"(","value":1}])";
  for (int i = 0; i < 3000; ++i) Propose("p" + std::to_string(i), 0, fault);
  EXPECT_LT(ledger_.Snapshot().size(), 5U << 20U);
}

TEST_F(ALedger, AcceptsTheFirstVersionOfEachExample) {
  for (const char* mesh : {"quickstart", "andes-norte", "ro-nord"}) {
    std::ifstream file(std::string(HG_SOURCE_DIR "/examples/") + mesh +
                       "/version-1.json");
    std::ostringstream patch;
    patch << file.rdbuf();
    VersionLedger ledger([](const ConfigVersionPtr&) {});
    wire::PatchCommand command;
    command.set_patch_id(mesh);
    command.set_patch(patch.str());
    ledger.Apply(command.SerializeAsString());
    EXPECT_EQ(ledger.Latest()->number, 1u) << mesh;
  }
}

TEST(APatchThatCopiesADocumentIntoItself,
     IsRefusedAtTheCopyThatExceedsTheLimit) {
  std::string patch = "[";
  for (int i = 0; i < 24; ++i) {
    if (i > 0) patch += ",";
    patch += R"({"op":"copy","from":"/services","path":"/services/c)" +
             std::to_string(i) + "\"}";
  }
  std::vector<SettingsFault> faults;
  EXPECT_FALSE(
      ApplyPatch(EmptyConfigVersion()->text, patch + "]", faults).has_value());
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_EQ(faults[0].pointer, "/17");
}

class APatchThatNestsADocumentInItself : public testing::Test {
 protected:
  /// @return a patch whose copies double the depth of the document each time.
  static std::string PatchOf(int copies) {
    std::string patch = R"([{"op":"replace","path":"","value":{"a":0}})";
    std::string path = "/a";
    for (int i = 0; i < copies; ++i) {
      patch += R"(,{"op":"copy","from":"","path":")" + path + R"("})";
      path += path;
    }
    return patch + "]";
  }
};

TEST_F(APatchThatNestsADocumentInItself, IsRefusedAtTheCopyThatIsTooDeep) {
  std::vector<SettingsFault> faults;
  EXPECT_FALSE(
      ApplyPatch(EmptyConfigVersion()->text, PatchOf(16), faults).has_value());
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_EQ(faults[0].pointer, "/6");
  EXPECT_NE(faults[0].message.find("32 levels"), std::string::npos)
      << faults[0].message;
}

TEST_F(APatchThatNestsADocumentInItself, LeavesTheLedgerAtWork) {
  VersionLedger ledger([](const ConfigVersionPtr&) {});
  wire::PatchCommand command;
  command.set_patch_id("deep");
  command.set_patch(PatchOf(16));
  ledger.Apply(command.SerializeAsString());
  EXPECT_EQ(ledger.Latest()->number, 0u);
  command.set_patch_id("good");
  command.set_patch(R"([{"op":"add","path":"/services/s","value":{}}])");
  ledger.Apply(command.SerializeAsString());
  EXPECT_EQ(ledger.Latest()->number, 1u);
}

}  // namespace
}  // namespace hibiscusglade
