#ifndef HIBISCUSGLADE_APP_DAEMON_H_
#define HIBISCUSGLADE_APP_DAEMON_H_

#include <string>

#include "app/external_interface.h"
#include "settings/daemon_settings.h"

namespace hibiscusglade {

/// Assembles the daemon, runs it until a stop signal and drains it. Settings
/// that may change meanwhile are reloaded on HUP and when the file has changed.
/// @param path of the settings file.
/// @param external protocol spoken with callers, upstreams and operators.
/// @return the exit status of the process: 0 after a clean stop, 1 when a part
/// could not start, 3 when requests were still open at the stop timeout or a
/// second stop signal.
int RunDaemon(const std::string& path, const DaemonSettings& settings,
              const ExternalInterface& external);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_DAEMON_H_
