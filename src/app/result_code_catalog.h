#ifndef HIBISCUSGLADE_APP_RESULT_CODE_CATALOG_H_
#define HIBISCUSGLADE_APP_RESULT_CODE_CATALOG_H_

#include <string>
#include <vector>

#include "base/result_code.h"

namespace hibiscusglade {

/// @return the result code categories of all modules, in order of their
/// numbers.
std::vector<const ResultCodeCategory*> AllResultCodeCategories();

/// @return the table of all result codes that docs/RESULT_CODES.md contains.
std::string DescribeResultCodes();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_RESULT_CODE_CATALOG_H_
