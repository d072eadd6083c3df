#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "app/result_code_catalog.h"

namespace hibiscusglade {
namespace {

TEST(TheResultCodes, HaveUniqueNumbers) {
  std::set<int> numbers;
  for (const ResultCodeCategory* category : AllResultCodeCategories()) {
    for (const ResultCodeInfo& info : category->Codes()) {
      EXPECT_TRUE(numbers.insert(info.number).second) << info.number;
    }
  }
}

TEST(TheResultCodes, AreListedInTheirPage) {
  std::ifstream file(HG_SOURCE_DIR "/docs/RESULT_CODES.md");
  std::ostringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(DescribeResultCodes()), std::string::npos)
      << "put this into docs/RESULT_CODES.md:\n"
      << DescribeResultCodes();
}

}  // namespace
}  // namespace hibiscusglade
