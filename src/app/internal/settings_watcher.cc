#include "app/internal/settings_watcher.h"

#include <utility>

#include "base/log.h"

namespace hibiscusglade {

SettingsWatcher::SettingsWatcher(std::string path, DaemonSettings settings)
    : path_(std::move(path)), settings_(std::move(settings)) {}

std::optional<DaemonSettings> SettingsWatcher::ReloadIfChanged() {
  SettingsLoadResult load = LoadDaemonSettings(path_);
  if (load.error) {
    const SettingsFault& fault = load.faults.front();
    const std::string text = fault.pointer + ": " + fault.message;
    if (text != std::exchange(last_fault_, text)) {
      Log(LogLevel::kWarning, "app",
          "The changed settings have faults and are ignored: " + text);
    }
    return std::nullopt;
  }
  last_fault_.clear();
  if (*load.settings == settings_) return std::nullopt;
  settings_ = *load.settings;
  return settings_;
}

}  // namespace hibiscusglade
