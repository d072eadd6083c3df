#include <gtest/gtest.h>

#include <sstream>

#include "tests/golden/golden.h"
#include "versions/version_ledger.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

constexpr char kPlots[] =
    R"([{"op":"add","path":"/services/plots","value":{}}])";
constexpr char kTags[] = R"([{"op":"add","path":"/services/tags","value":{}}])";
constexpr char kBadRoute[] =
    R"([{"op":"add","path":"/routes/r","value":{"path_prefix":"r",
        "service":"none","class":"none","timeout_ms":0}}])";

/// Applies proposals to a ledger and records the verdicts, to be compared with
/// a golden file.
class ALedgerSession : public testing::Test {
 protected:
  void Propose(const std::string& id, uint64_t base, const std::string& patch) {
    wire::PatchCommand command;
    command.set_patch_id(id);
    command.set_base(base);
    command.set_patch(patch);
    Submit(id + " against " + std::to_string(base), command);
  }

  void RollForward(const std::string& id, uint64_t base, uint64_t older) {
    wire::PatchCommand command;
    command.set_patch_id(id);
    command.set_base(base);
    command.set_restore_content_of(older);
    Submit(id + " against " + std::to_string(base) + " restores content of " +
               std::to_string(older),
           command);
  }

  void Submit(const std::string& what, const wire::PatchCommand& command) {
    wire::PatchVerdict verdict;
    verdict.ParseFromString(ledger_->Apply(command.SerializeAsString()));
    session_ << what << "\n  -> ";
    if (verdict.code() == 0) {
      session_ << "accepted as " << verdict.number();
    } else {
      session_ << make_error_code(static_cast<VersionsCode>(verdict.code()))
                      .message();
    }
    session_ << ", latest " << verdict.latest() << "\n";
    for (const auto& fault : verdict.faults()) {
      session_ << "     " << fault.pointer() << ": " << fault.message() << "\n";
    }
  }

  void RestartFromSnapshot() {
    session_ << "restart from the snapshot\n";
    auto next = MakeLedger();
    ASSERT_TRUE(next->Restore(ledger_->Snapshot()));
    ledger_ = std::move(next);
  }

  void ExpectSession(const std::string& name) {
    session_ << "latest " << ledger_->Latest()->number << " "
             << ledger_->Latest()->text << "\n";
    ExpectGolden(std::string(HG_TEST_DATA_DIR "/") + name + ".session",
                 session_.str());
  }

  static std::unique_ptr<VersionLedger> MakeLedger() {
    return std::make_unique<VersionLedger>([](const ConfigVersionPtr&) {});
  }

  std::unique_ptr<VersionLedger> ledger_ = MakeLedger();
  std::ostringstream session_;
};

TEST_F(ALedgerSession, OfRacingPatchesAndResends) {
  Propose("ana-1", 0, kPlots);
  Propose("ben-1", 0, kTags);
  Propose("ana-1", 0, kPlots);
  Propose("ben-1", 0, kTags);
  Propose("ben-2", 1, kTags);
  RestartFromSnapshot();
  Propose("ana-1", 0, kPlots);
  Propose("ben-1", 0, kTags);
  Propose("ben-2", 1, kTags);
  Propose("ben-2", 2, kPlots);
  ExpectSession("racing_patches");
}

TEST_F(ALedgerSession, OfRefusedPatches) {
  Propose("ana-1", 0, kBadRoute);
  Propose("ana-2", 0, "{}");
  Propose("ana-3", 0, R"([{"op":"remove","path":"/services/none"}])");
  Propose("", 0, kPlots);
  Propose("ana-4", 7, kPlots);
  ExpectSession("refused_patches");
}

TEST_F(ALedgerSession, OfARollForward) {
  Propose("ana-1", 0, kPlots);
  Propose("ana-2", 1, kTags);
  RollForward("ana-3", 2, 1);
  RollForward("ana-3", 2, 1);
  RollForward("ana-4", 2, 1);
  RollForward("ana-5", 3, 9);
  RestartFromSnapshot();
  RollForward("ana-6", 3, 2);
  ExpectSession("roll_forward");
}

}  // namespace
}  // namespace hibiscusglade
