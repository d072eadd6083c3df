#ifndef HIBISCUSGLADE_APP_INTERNAL_SETTINGS_WATCHER_H_
#define HIBISCUSGLADE_APP_INTERNAL_SETTINGS_WATCHER_H_

#include <optional>
#include <string>

#include "settings/daemon_settings.h"

namespace hibiscusglade {

/// Detects changes of the settings file.
class SettingsWatcher {
 public:
  SettingsWatcher(std::string path, DaemonSettings settings);

  /// Reads the file again. Logs and ignores a file with faults.
  /// @return the new settings; nullopt when they are unchanged or have faults.
  std::optional<DaemonSettings> ReloadIfChanged();

  /// @return the settings as last read without a fault.
  const DaemonSettings& Latest() const { return settings_; }

 private:
  std::string path_;
  DaemonSettings settings_;
  std::string last_fault_;  ///< Logged last; avoids repeated log lines.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_INTERNAL_SETTINGS_WATCHER_H_
