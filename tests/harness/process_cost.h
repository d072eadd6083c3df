#ifndef HIBISCUSGLADE_TESTS_HARNESS_PROCESS_COST_H_
#define HIBISCUSGLADE_TESTS_HARNESS_PROCESS_COST_H_

#include <sys/types.h>

#include <algorithm>
#include <vector>

namespace hibiscusglade {

/// @return CPU time that a process has used so far, in milliseconds.
double ProcessCpuMs(pid_t pid);

/// @return resident memory of a process in kilobytes.
double ProcessResidentKb(pid_t pid);

/// @return the median, or the upper of the two middle values when their number
/// is even; Value{} when there are none.
template <typename Value>
Value MedianOf(std::vector<Value> values) {
  if (values.empty()) return Value{};
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_PROCESS_COST_H_
