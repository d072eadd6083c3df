#ifndef HIBISCUSGLADE_APP_RESULT_CODE_CATALOG_H_
#define HIBISCUSGLADE_APP_RESULT_CODE_CATALOG_H_

#include <string>
#include <vector>

#include "base/result_code.h"

namespace hibiscusglade {

/// @return the categories of all modules, by number range.
std::vector<const ResultCodeCategory*> AllResultCodeCategories();

/// @return the table of all codes for docs/RESULT_CODES.md.
std::string DescribeResultCodes();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_RESULT_CODE_CATALOG_H_
