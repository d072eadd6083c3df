#include <gflags/gflags.h>

#include <iostream>

#include "app/daemon.h"
#include "platform/stop_signal.h"
#include "settings/daemon_settings.h"

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");

namespace {

constexpr int kExitSettings = 2;

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "the daemon beside one upstream instance\n\n"
      "  hibiscusgladed --settings FILE\n\n"
      "TERM or INT drains and stops; a second one hurries.");
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
