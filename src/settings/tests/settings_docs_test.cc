#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/metric_catalog.h"
#include "settings/daemon_settings.h"

namespace hibiscusglade {
namespace {

std::string ContentOf(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(TheSettingsPage, ContainsTheGeneratedTable) {
  const std::string page = ContentOf(HG_SOURCE_DIR "/docs/SETTINGS.md");
  EXPECT_NE(page.find(DescribeDaemonSettings()), std::string::npos)
      << "put this into docs/SETTINGS.md:\n"
      << DescribeDaemonSettings();
}

TEST(TheOperationsPage, ContainsTheTableOfMetrics) {
  const std::string page = ContentOf(HG_SOURCE_DIR "/docs/OPERATIONS.md");
  EXPECT_NE(page.find(DescribeMetrics()), std::string::npos)
      << "put this into docs/OPERATIONS.md:\n"
      << DescribeMetrics();
}

TEST(TheExampleSettings, HaveNoFaults) {
  size_t files = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(
           HG_SOURCE_DIR "/examples")) {
    if (entry.path().extension() != ".jsonc") continue;
    ++files;
    SettingsLoadResult load = LoadDaemonSettings(entry.path());
    for (const SettingsFault& fault : load.faults) {
      ADD_FAILURE() << entry.path() << fault.pointer << ": " << fault.message;
    }
  }
  EXPECT_GT(files, 0u);
}

}  // namespace
}  // namespace hibiscusglade
