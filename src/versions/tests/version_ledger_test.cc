#include "versions/version_ledger.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

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

}  // namespace
}  // namespace hibiscusglade
