#include "base/process_memory.h"

#include <dirent.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace hibiscusglade {

ProcessMemory ReadProcessMemory() {
  ProcessMemory memory;
  const struct mallinfo2 heap = mallinfo2();
  memory.heap_in_use = heap.uordblks + heap.hblkhd;
  memory.heap_free = heap.fordblks;
  std::ifstream file("/proc/self/statm");
  uint64_t pages = 0;
  uint64_t resident_pages = 0;
  if (file >> pages >> resident_pages) {
    memory.resident =
        resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
  }
  return memory;
}

uint64_t CountDescriptors() {
  DIR* folder = opendir("/proc/self/fd");
  if (folder == nullptr) return 0;
  uint64_t entries = 0;
  while (readdir(folder) != nullptr) ++entries;
  closedir(folder);
  // Without ".", ".." and the descriptor of the folder itself.
  constexpr uint64_t kOtherEntries = 3;
  return entries - std::min(entries, kOtherEntries);
}

bool MemoryGrowthGate::Crosses(const ProcessMemory& memory) {
  const uint64_t size =
      std::max(memory.resident, memory.heap_in_use + memory.heap_free);
  if (!reference_.has_value()) reference_ = size;
  reference_ = std::min(*reference_, size);
  if (size < *reference_ + kGrowthStep) return false;
  reference_ = size;
  return true;
}

}  // namespace hibiscusglade
