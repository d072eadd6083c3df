#ifndef HIBISCUSGLADE_CTL_INTERNAL_SETTINGS_COMMANDS_H_
#define HIBISCUSGLADE_CTL_INTERNAL_SETTINGS_COMMANDS_H_

#include "ctl/internal/command_context.h"

namespace hibiscusglade {

/// Commands about a daemon's settings file, which call no daemon.
/// @return the exit status.
int CheckSettings(const Context& context);
int FoundReplicaCommand(const Context& context);
int DescribeSettings(const Context& context);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CTL_INTERNAL_SETTINGS_COMMANDS_H_
