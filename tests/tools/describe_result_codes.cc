// Prints the table of docs/RESULT_CODES.md.
#include <iostream>

#include "app/result_code_catalog.h"

int main() {
  std::cout << hibiscusglade::DescribeResultCodes();
  return 0;
}
