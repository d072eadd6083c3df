#ifndef HIBISCUSGLADE_VERSIONS_VERSIONS_RESULT_CODES_H_
#define HIBISCUSGLADE_VERSIONS_VERSIONS_RESULT_CODES_H_

#include "base/result_code.h"

namespace hibiscusglade {

/// Result codes 2000 to 2499.
enum class VersionsCode {
  kConflict = 2001,
  kInvalidDocument = 2002,
  kInvalidPatch = 2003,
  kPatchIdReused = 2004,
  kNoSuchVersion = 2005,
  kMissingPatchId = 2006,
  kDamagedCommand = 2007,
  kRolloutInProgress = 2008,
  kInvalidRollout = 2009,
  kNoSuchRollout = 2010,
  kRolloutStepOutdated = 2011,
};

const ResultCodeCategory& VersionsCategory();
std::error_code make_error_code(VersionsCode code);

}  // namespace hibiscusglade

template <>
struct std::is_error_code_enum<hibiscusglade::VersionsCode> : std::true_type {};

#endif  // HIBISCUSGLADE_VERSIONS_VERSIONS_RESULT_CODES_H_
