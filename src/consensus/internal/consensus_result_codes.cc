#include "consensus/consensus_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {2501, "not-leader", "this replica does not lead its group", 503,
     Certainty::kNotRun, "Nothing; the sender retries at the leader."},
    {2502, "no-quorum", "no majority of replicas can be reached", 503,
     Certainty::kNotRun,
     "Restore network links or replicas until a majority is reachable."},
    {2503, "outcome-unknown", "the answer was lost while a commit was open",
     504, Certainty::kUnknown, "Resend with the same id."},
    {2504, "folder-not-empty", "the data folder was used before", 500,
     Certainty::kNotApplicable,
     "Run found-replica only with an empty data folder."},
    {2505, "log-damaged", "the replica's log is damaged before its end", 500,
     Certainty::kNotApplicable,
     "Nothing; the replica takes a new identity and joins as a new member."},
    {2506, "wrong-instance", "the data folder belongs to another instance", 500,
     Certainty::kNotApplicable, "Check the data folder's path."},
};

}  // namespace

const ResultCodeCategory& ConsensusCategory() {
  static const ResultCodeCategory category("consensus", kCodes);
  return category;
}

std::error_code make_error_code(ConsensusCode code) {
  return {static_cast<int>(code), ConsensusCategory()};
}

}  // namespace hibiscusglade
