#include "app/internal/memory_reporter.h"

#include <string>

namespace hibiscusglade {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(500);

std::string KilobytesText(uint64_t bytes) {
  return std::to_string(bytes >> 10U);
}

}  // namespace

void MemoryReporter::Start() {
  loop_.SetTimer(clock_.Now() + kCheckInterval, [this] {
    Check();
    Start();
  });
}

void MemoryReporter::Check() {
  const ProcessMemory memory = ReadProcessMemory();
  if (!gate_.Crosses(memory)) return;
  LogFields fields = {{"resident_kb", KilobytesText(memory.resident)},
                      {"heap_kb", KilobytesText(memory.heap_in_use)},
                      {"heap_free_kb", KilobytesText(memory.heap_free)},
                      {"descriptors", std::to_string(CountDescriptors())}};
  for (auto& field : holders_()) fields.push_back(std::move(field));
  Log(LogLevel::kInfo, "app", "Memory has grown.", fields);
}

}  // namespace hibiscusglade
