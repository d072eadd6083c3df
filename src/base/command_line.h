#ifndef HIBISCUSGLADE_BASE_COMMAND_LINE_H_
#define HIBISCUSGLADE_BASE_COMMAND_LINE_H_

#include <string_view>

namespace hibiscusglade {

/// @return whether the command line asks for help. Programs print their own
/// help, because that of gflags lists the flags of every linked library.
inline bool AsksForHelp(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--") return false;
    if (argument == "--help" || argument == "-help" || argument == "-h")
      return true;
  }
  return argc == 2 && std::string_view(argv[1]) == "help";
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_COMMAND_LINE_H_
