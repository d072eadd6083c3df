#include "versions/versions_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {2001, "conflict", "the patch names a version that is not the latest", 409,
     Certainty::kNotApplicable,
     "Read the latest version and propose the change against it."},
    {2002, "invalid-document", "the patched document has faults", 422,
     Certainty::kNotApplicable,
     "Fix every reported fault and propose the patch again."},
    {2003, "invalid-patch", "the patch can't be read or applied", 422,
     Certainty::kNotApplicable,
     "Check the patch against the version it names."},
    {2004, "patch-id-reused", "the patch id was used for another patch", 409,
     Certainty::kNotApplicable, "Propose the patch with a new patch id."},
    {2005, "no-such-version", "the version does not exist or is compacted", 404,
     Certainty::kNotApplicable, "See hibiscusgladectl history."},
    {2006, "missing-patch-id", "the proposal names no patch id", 400,
     Certainty::kNotApplicable,
     "Add a patch id, so that the patch can be resent safely."},
    {2007, "damaged-command", "the command can't be decoded", 400,
     Certainty::kNotApplicable, "Check that all daemons run the same release."},
    {2008, "rollout-in-progress", "another rollout of the service is running",
     409, Certainty::kNotApplicable,
     "See hibiscusgladectl rollout status; order again once it has ended."},
    {2009, "invalid-rollout", "the order of a rollout has faults", 422,
     Certainty::kNotApplicable, "Fix every reported fault and order again."},
    {2010, "no-such-rollout", "the service has had no rollout", 404,
     Certainty::kNotApplicable, "See hibiscusgladectl rollout list."},
    {2011, "rollout-step-outdated",
     "a step does not follow the recorded state of its rollout", 409,
     Certainty::kNotApplicable,
     "None; another leader has taken the step or the rollout has ended."},
};

}  // namespace

const ResultCodeCategory& VersionsCategory() {
  static const ResultCodeCategory category("versions", kCodes);
  return category;
}

std::error_code make_error_code(VersionsCode code) {
  return {static_cast<int>(code), VersionsCategory()};
}

}  // namespace hibiscusglade
