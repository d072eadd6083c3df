#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "review/cases.h"
#include "review/fleet.h"
#include "review/net.h"

namespace {

constexpr int kCannotRun = 2;
constexpr int kServerArguments = 13;

int ServerMain(char** argv) {
  review::ContinueRecord(argv[2], std::atoll(argv[3]));
  review::ServerSettings settings;
  settings.ip = argv[4];
  settings.app_port = static_cast<uint16_t>(std::atoi(argv[5]));
  settings.control_port = static_cast<uint16_t>(std::atoi(argv[6]));
  settings.service = argv[7];
  settings.zone = argv[8];
  settings.id = argv[9];
  settings.garble_every = std::atoi(argv[10]);
  settings.garble_flag = argv[11];
  settings.leave_flag = argv[12];
  review::RunServer(settings);
}

}  // namespace

/// standin server ...: a server, started by a case.
/// standin CASE DAEMON FOLDER RECORD: a case; its exit status is that of the
/// script: 1 the rule was broken, 0 it held, 2 the case could not run.
int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "server" && argc == kServerArguments) return ServerMain(argv);
  constexpr int kCaseArguments = 5;
  if (argc != kCaseArguments) return kCannotRun;
  const char* trouble = std::getenv("TROUBLE");
  review::CaseSettings settings;
  settings.daemon = argv[2];
  settings.folder = argv[3];
  settings.trouble = trouble == nullptr || std::string(trouble) != "0";
  review::BeginRecord(argv[4]);
  int status = kCannotRun;
  if (name == "crashing_request") status = review::CrashingRequest(settings);
  if (name == "pipelined_download") {
    status = review::PipelinedDownload(settings);
  }
  if (name == "large_body") status = review::LargeBody(settings);
  if (name == "first_configuration") {
    status = review::FirstConfiguration(settings);
  }
  if (name == "forgotten_leave") status = review::ForgottenLeave(settings);
  std::printf("%s: %s\n", name.c_str(),
              status == 0   ? "the rule held"
              : status == 1 ? "the rule was broken"
                            : "the case could not run");
  return status;
}
