#include <gflags/gflags.h>

#include <iostream>

#include "app/daemon.h"
#include "base/command_line.h"
#include "base/stop_signal.h"
#include "settings/daemon_settings.h"

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");

namespace {

constexpr int kExitSettings = 2;
constexpr char kUsage[] =
    "hibiscusgladed: the daemon beside one upstream instance\n\n"
    "  hibiscusgladed --settings FILE\n\n"
    "The settings file is JSON with comments; docs/SETTINGS.md lists every\n"
    "field, and hibiscusgladectl check-settings FILE every fault.\n\n"
    "Signals: TERM or INT drains and stops; a second one hurries.\n"
    "Exit status: 0 stopped cleanly, 1 can't start, 2 faults in the settings,\n"
    "3 stopped with requests still open.\n";

}  // namespace

int main(int argc, char** argv) {
  if (hibiscusglade::AsksForHelp(argc, argv)) {
    std::cout << kUsage;
    return 0;
  }
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  hibiscusglade::SettingsLoad load =
      hibiscusglade::LoadDaemonSettings(FLAGS_settings);
  if (load.error) {
    for (const hibiscusglade::SettingsFault& fault : load.faults) {
      std::cerr << FLAGS_settings << ": " << fault.pointer << ": "
                << fault.message << "\n";
    }
    return kExitSettings;
  }
  hibiscusglade::BlockStopSignals();
  return hibiscusglade::RunDaemon(*load.settings);
}
