#ifndef HIBISCUSGLADE_APP_DAEMON_H_
#define HIBISCUSGLADE_APP_DAEMON_H_

#include <string>

#include "app/outside_interface.h"
#include "settings/daemon_settings.h"

namespace hibiscusglade {

/// Puts the daemon's parts together, runs until a stop signal, then drains.
/// Settings that may change while it runs are read anew on HUP and when the
/// file has changed.
/// @param path of the settings file.
/// @param outside what callers, upstreams and operators meet.
/// @return the process's exit status: 0 after a clean stop, 1 when a part
/// could not start, 3 when requests were still open at the stop's timeout.
int RunDaemon(const std::string& path, const DaemonSettings& settings,
              const OutsideInterface& outside);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_DAEMON_H_
