#include "base/base_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {1001, "settings-unreadable", "the settings file can't be read", 500,
     Certainty::kNotApplicable, "Check the path and its permissions."},
    {1002, "settings-invalid", "the settings have faults", 500,
     Certainty::kNotApplicable,
     "Run hibiscusgladectl check-settings and fix every reported fault."},
    {1003, "file-unreadable", "a file of the data folder can't be read", 500,
     Certainty::kNotApplicable, "Check the disk and the folder's permissions."},
    {1004, "file-unwritable", "a file of the data folder can't be written", 500,
     Certainty::kNotApplicable,
     "Check the free space and the folder's permissions."},
    {1005, "sync-failed", "the disk did not confirm a write", 500,
     Certainty::kNotApplicable,
     "Replace the disk and let the replica join as a new member."},
    {1006, "file-damaged", "a file of the data folder is damaged", 500,
     Certainty::kNotApplicable,
     "Move the folder away and let the replica join as a new member."},
};

}  // namespace

const ResultCodeCategory& BaseCategory() {
  static const ResultCodeCategory category("base", kCodes);
  return category;
}

std::error_code make_error_code(BaseCode code) {
  return {static_cast<int>(code), BaseCategory()};
}

}  // namespace hibiscusglade
