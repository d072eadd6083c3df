#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "base/command_line.h"
#include "ctl/commands.h"

DEFINE_string(api, "127.0.0.1:7003", "ip:port of a daemon's operators' API");
DEFINE_bool(json, false, "print the answer as JSON");
DEFINE_string(patch_id, "",
              "propose: id of the patch, which makes a resend safe");
DEFINE_int64(base, -1, "propose: version that the patch applies to");
DEFINE_string(patch, "", "propose: file with an RFC 6902 patch");
DEFINE_int64(restore, 0, "propose: restore the content of this version");
DEFINE_string(author, "", "propose: author of the proposal");
DEFINE_int32(most, 20, "history: maximum number of versions");
DEFINE_int32(timeout, 30, "watch: timeout in seconds");
DEFINE_int32(duration, 0, "rollout start: seconds until it must be completed");
DEFINE_string(settings, "", "found-replica: settings file of the replica");

int main(int argc, char** argv) {
  if (hibiscusglade::AsksForHelp(argc, argv)) {
    std::cout << hibiscusglade::UsageText();
    return hibiscusglade::kExitOk;
  }
  gflags::SetUsageMessage(hibiscusglade::UsageText());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  hibiscusglade::CommandOptions options;
  options.api = FLAGS_api;
  options.json = FLAGS_json;
  options.patch_id = FLAGS_patch_id;
  options.base = FLAGS_base;
  options.patch_file = FLAGS_patch;
  options.restore = FLAGS_restore;
  options.author = FLAGS_author;
  options.max_rows = FLAGS_most;
  options.timeout_s = FLAGS_timeout;
  options.duration_s = FLAGS_duration;
  options.settings_file = FLAGS_settings;
  options.arguments.assign(argv + 1, argv + argc);
  return hibiscusglade::RunCommand(options, std::cout, std::cerr);
}
