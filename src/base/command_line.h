#ifndef HIBISCUSGLADE_BASE_COMMAND_LINE_H_
#define HIBISCUSGLADE_BASE_COMMAND_LINE_H_

#include <string_view>

namespace hibiscusglade {

/// @return whether the command line asks for help. Programs answer this
/// themselves: gflags' own help lists every flag of every library.
inline bool AsksForHelp(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string_view word = argv[i];
    if (word == "--") return false;
    if (word == "--help" || word == "-help" || word == "-h") return true;
  }
  return argc == 2 && std::string_view(argv[1]) == "help";
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_COMMAND_LINE_H_
