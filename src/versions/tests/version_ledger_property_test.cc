#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "base/random.h"
#include "versions/version_ledger.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

constexpr int kSteps = 80;
constexpr uint64_t kOperators = 4;

wire::PatchCommand CommandOf(uint64_t id, uint64_t base) {
  wire::PatchCommand command;
  command.set_patch_id("p" + std::to_string(id));
  command.set_base(base);
  command.set_patch(R"([{"op":"add","path":"/services/s)" + std::to_string(id) +
                    R"(","value":{}}])");
  return command;
}

/// Reference model: a patch id keeps its first verdict.
struct Reference {
  uint64_t latest = 0;
  std::map<uint64_t, uint64_t> number_of;  ///< 0 for a refused patch.

  uint64_t Apply(uint64_t id, uint64_t base) {
    auto [known, is_new] = number_of.try_emplace(id, 0);
    if (is_new && base == latest) known->second = ++latest;
    return known->second;
  }
};

RC_GTEST_PROP(ALedgerUnderRacesAndResends, GivesEachNumberToOnePatch, ()) {
  Random random(*rc::gen::arbitrary<uint64_t>());
  auto ledger = std::make_unique<VersionLedger>([](const ConfigVersionPtr&) {});
  Reference reference;
  std::vector<wire::PatchCommand> sent;
  for (int step = 0; step < kSteps; ++step) {
    uint64_t id = sent.size();
    if (!sent.empty() && random.Below(3) == 0) {
      id = random.Below(sent.size());
    } else {
      const uint64_t behind = random.Below(kOperators) == 0 ? 1 : 0;
      sent.push_back(
          CommandOf(id, reference.latest - std::min(reference.latest, behind)));
    }
    wire::PatchVerdict verdict;
    verdict.ParseFromString(ledger->Apply(sent[id].SerializeAsString()));
    RC_ASSERT(verdict.number() == reference.Apply(id, sent[id].base()));
    RC_ASSERT(ledger->Latest()->number == reference.latest);
    if (random.Below(10) == 0) {
      auto restored =
          std::make_unique<VersionLedger>([](const ConfigVersionPtr&) {});
      RC_ASSERT(restored->Restore(ledger->Snapshot()));
      ledger = std::move(restored);
    }
  }
  for (const auto& [id, number] : reference.number_of) {
    const bool in_document =
        ledger->Latest()->document.services.contains("s" + std::to_string(id));
    RC_ASSERT(in_document == (number != 0));
  }
}

}  // namespace
}  // namespace hibiscusglade
