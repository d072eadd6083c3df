#ifndef HIBISCUSGLADE_APP_DAEMON_H_
#define HIBISCUSGLADE_APP_DAEMON_H_

#include "settings/daemon_settings.h"

namespace hibiscusglade {

/// Puts the daemon's parts together, runs until a stop signal, then drains.
/// @return the process's exit status: 0 after a clean stop, 1 when a part
/// could not start, 3 when requests were still open at the stop's timeout.
int RunDaemon(const DaemonSettings& settings);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_APP_DAEMON_H_
