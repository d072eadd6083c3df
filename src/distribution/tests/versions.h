#ifndef HIBISCUSGLADE_DISTRIBUTION_TESTS_VERSIONS_H_
#define HIBISCUSGLADE_DISTRIBUTION_TESTS_VERSIONS_H_

#include <string>
#include <vector>

#include "versions/config_reader.h"

namespace hibiscusglade {

/// @return version 1, a small change of the empty version.
inline ConfigVersionPtr VersionOne() {
  std::vector<SettingsFault> faults;
  const std::string patch =
      R"([{"op":"add","path":"/services/plots","value":{}}])";
  return MakeConfigVersion(
      1, 0, *ApplyPatch(EmptyConfigVersion()->text, patch, faults), patch,
      faults);
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_TESTS_VERSIONS_H_
