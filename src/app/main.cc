#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "app/daemon.h"
#include "base/command_line.h"
#include "base/stop_signal.h"
#include "platform/platform_interface.h"
#include "settings/daemon_settings.h"

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");

namespace {

constexpr int kExitSettings = 2;
constexpr char kUsage[] =
    "hibiscusgladed: the daemon beside one upstream instance\n\n"
    "  hibiscusgladed --settings FILE\n\n"
    "The settings file is JSON with comments; docs/SETTINGS.md lists every\n"
    "field, and hibiscusgladectl check-settings FILE every fault. Without\n"
    "--settings the environment variable HIBISCUSGLADE_CONFIG names it.\n\n"
    "Signals: TERM or INT drains and stops; a second one stops without\n"
    "waiting for open requests. HUP reloads the settings.\n"
    "Exit status: 0 stopped cleanly, 1 can't start, 2 faults in the settings,\n"
    "3 stopped with requests still open.\n";

/// @return the path from the command line, else from the environment.
std::string SettingsPath() {
  if (!FLAGS_settings.empty()) return FLAGS_settings;
  const char* path = std::getenv("HIBISCUSGLADE_CONFIG");
  return path == nullptr ? "" : path;
}

}  // namespace

int main(int argc, char** argv) {
  if (hibiscusglade::AsksForHelp(argc, argv)) {
    std::cout << kUsage;
    return 0;
  }
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string path = SettingsPath();
  hibiscusglade::SettingsLoadResult load =
      hibiscusglade::LoadDaemonSettings(path);
  if (load.error) {
    for (const hibiscusglade::SettingsFault& fault : load.faults) {
      std::cerr << path << ": " << fault.pointer << ": " << fault.message
                << "\n";
    }
    return kExitSettings;
  }
  hibiscusglade::BlockStopSignals();
  const bool on_platform = load.settings->external_interface ==
                           hibiscusglade::ExternalInterfaceKind::kPlatform;
  return hibiscusglade::RunDaemon(path, *load.settings,
                                  on_platform
                                      ? hibiscusglade::PlatformInterface()
                                      : hibiscusglade::DefaultInterface());
}
