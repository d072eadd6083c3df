#ifndef HIBISCUSGLADE_CTL_INTERNAL_COMMAND_CONTEXT_H_
#define HIBISCUSGLADE_CTL_INTERNAL_COMMAND_CONTEXT_H_

#include <ostream>
#include <string>
#include <vector>

#include "base/settings_reader.h"
#include "ctl/commands.h"
#include "ctl/internal/api_client.h"

namespace hibiscusglade {

/// Options, API client and output streams of one command.
struct Context {
  const CommandOptions& options;
  ApiClient api;
  std::ostream& out;
  std::ostream& err;

  /// @return an argument, the command being number 0; empty when absent.
  std::string Argument(size_t index) const {
    return index < options.arguments.size() ? options.arguments[index] : "";
  }
};

/// Prints one fault; an empty pointer stands for the whole document.
void PrintFault(std::ostream& err, const std::string& pointer,
                const std::string& message);

/// Prints the faults found in a file.
void PrintFileFaults(const Context& context, const std::string& path,
                     const std::vector<SettingsFault>& faults);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CTL_INTERNAL_COMMAND_CONTEXT_H_
