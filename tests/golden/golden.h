#ifndef HIBISCUSGLADE_TESTS_GOLDEN_GOLDEN_H_
#define HIBISCUSGLADE_TESTS_GOLDEN_GOLDEN_H_

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace hibiscusglade {

/// Compares a transcript with a golden file. With HG_UPDATE_GOLDEN=1 in the
/// environment the golden file is overwritten with the transcript instead.
/// @param path path of the golden file.
inline void ExpectGolden(const std::string& path,
                         const std::string& transcript) {
  if (std::getenv("HG_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << transcript;
    return;
  }
  std::ifstream file(path);
  std::ostringstream expected;
  expected << file.rdbuf();
  EXPECT_EQ(expected.str(), transcript) << "golden file " << path;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_GOLDEN_GOLDEN_H_
