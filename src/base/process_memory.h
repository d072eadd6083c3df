#ifndef HIBISCUSGLADE_BASE_PROCESS_MEMORY_H_
#define HIBISCUSGLADE_BASE_PROCESS_MEMORY_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace hibiscusglade {

/// Memory of this process, in bytes.
struct ProcessMemory {
  uint64_t resident = 0;     ///< Physical memory; zero when not known.
  uint64_t heap_in_use = 0;  ///< Allocated by this process.
  uint64_t heap_free = 0;    ///< Held by the allocator for later use.
};

ProcessMemory ReadProcessMemory();

/// @return the number of open descriptors of this process.
uint64_t CountDescriptors();

/// Tells when memory has grown enough to be worth a log line.
class MemoryGrowthGate {
 public:
  /// @return whether the larger of resident memory and heap has grown by
  /// kGrowthStep beyond its value at the last line, or at the lowest point
  /// since.
  bool Crosses(const ProcessMemory& memory);

  static constexpr uint64_t kGrowthStep = uint64_t{4} << 20U;

 private:
  std::optional<uint64_t> reference_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_PROCESS_MEMORY_H_
