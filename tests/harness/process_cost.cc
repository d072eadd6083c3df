#include "tests/harness/process_cost.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace hibiscusglade {
namespace {

// Positions in /proc/PID/stat, counted from 1 (see proc(5)).
constexpr int kUserTimeField = 14;
constexpr int kSystemTimeField = 15;

}  // namespace

double ProcessCpuMs(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return 0;
  // The process name may contain spaces; the fields after it don't.
  std::istringstream fields(text.substr(name_end + 2));
  std::string word;
  double ticks = 0;
  for (int field = 3; fields >> word; ++field) {
    if (field == kUserTimeField || field == kSystemTimeField) {
      ticks += std::stod(word);
    }
  }
  return ticks * 1000.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ProcessResidentKb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double pages = 0;
  double resident = 0;
  file >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024.0;
}

}  // namespace hibiscusglade
