#ifndef HIBISCUSGLADE_CTL_COMMANDS_H_
#define HIBISCUSGLADE_CTL_COMMANDS_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace hibiscusglade {

/// Exit statuses of hibiscusgladectl.
enum ExitStatus : int {
  kExitOk = 0,
  kExitUsage = 1,
  kExitInvalid = 2,      ///< Faults in the settings, patch or document.
  kExitConflict = 3,     ///< The patch names a version that is not the latest.
  kExitNotAccepted = 4,  ///< No quorum; the patch was not accepted.
  kExitUnknown = 5,      ///< Outcome unknown; resend with the same patch id.
  kExitTimeout = 6,      ///< The version is not in force everywhere.
  kExitUnreachable = 7,  ///< No readable answer from the daemon.
  kExitNotFound = 8,
};

/// Flags and arguments of one invocation.
struct CommandOptions {
  std::string api;  ///< "ip:port" of a daemon's operators' API.
  bool json = false;
  std::string patch_id;
  int64_t base = -1;  ///< Version that the patch applies to; -1: not given.
  std::string patch_file;
  int64_t restore = 0;  ///< Version whose content to restore; 0: none.
  std::string author;
  int32_t max_rows = 20;
  int32_t timeout_s = 30;
  int32_t duration_s = 0;  ///< Of a rollout.
  std::string settings_file;
  std::vector<std::string> arguments;  ///< The command and its operands.
};

/// @return the text of --help.
std::string UsageText();

/// Runs one command.
/// @return the exit status.
int RunCommand(const CommandOptions& options, std::ostream& out,
               std::ostream& err);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CTL_COMMANDS_H_
