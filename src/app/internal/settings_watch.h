#ifndef HIBISCUSGLADE_APP_INTERNAL_SETTINGS_WATCH_H_
#define HIBISCUSGLADE_APP_INTERNAL_SETTINGS_WATCH_H_

#include <optional>
#include <string>

#include "settings/daemon_settings.h"

namespace hibiscusglade {

/// Finds out whether the settings file has changed since it was last read.
class SettingsWatch {
 public:
  SettingsWatch(std::string path, DaemonSettings settings);

  /// Reads the file again. One with faults is passed over with a log line.
  /// @return the settings, if they differ from those read before.
  std::optional<DaemonSettings> Reread();

 private:
  std::string path_;
  DaemonSettings settings_;
  std::string last_fault_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_INTERNAL_SETTINGS_WATCH_H_
