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
  kExitInvalid = 2,      ///< Faults in settings, patch or document.
  kExitConflict = 3,     ///< The patch names a version that is not the latest.
  kExitNotAccepted = 4,  ///< No majority; not accepted.
  kExitUnknown = 5,      ///< Outcome not known; resend the same patch id.
  kExitTimeout = 6,      ///< Not in force everywhere yet.
  kExitUnreachable = 7,  ///< The daemon does not answer.
  kExitNotFound = 8,
};

struct CommandOptions {
  std::string api;
  bool json = false;
  std::string patch_id;
  int64_t base = -1;
  std::string patch_file;
  int64_t restore = 0;
  std::string author;
  int32_t most = 20;
  int32_t timeout_s = 30;
  std::string settings_file;
  std::vector<std::string> words;  ///< The command and its operands.
};

/// @return the text of --help.
std::string UsageText();

/// Runs one command.
/// @return the exit status.
int RunCommand(const CommandOptions& options, std::ostream& out,
               std::ostream& err);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CTL_COMMANDS_H_
