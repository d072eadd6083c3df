#ifndef HIBISCUSGLADE_TESTS_GOLDEN_GOLDEN_H_
#define HIBISCUSGLADE_TESTS_GOLDEN_GOLDEN_H_

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace hibiscusglade {

/// Compares a whole session with the file that holds it. With
/// HG_UPDATE_GOLDEN=1 in the environment the file is written instead.
/// @param path path of the golden file.
inline void ExpectGolden(const std::string& path, const std::string& session) {
  if (std::getenv("HG_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << session;
    return;
  }
  std::ifstream file(path);
  std::ostringstream expected;
  expected << file.rdbuf();
  EXPECT_EQ(expected.str(), session) << "golden file " << path;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_GOLDEN_GOLDEN_H_
