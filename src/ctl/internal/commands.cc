#include "ctl/commands.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <thread>

#include "consensus/consensus_result_codes.h"
#include "consensus/replica.h"
#include "ctl/internal/api_client.h"
#include "operator/operator_result_codes.h"
#include "platform/data_folder.h"
#include "settings/daemon_settings.h"
#include "versions/versions_result_codes.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kWatchInterval{200};

/// What a command runs with.
struct Context {
  const CommandOptions& options;
  ApiClient api;
  std::ostream& out;
  std::ostream& err;

  std::string Operand(size_t place) const {
    return place < options.words.size() ? options.words[place] : "";
  }
};

int ExitOf(int code) {
  if (code == static_cast<int>(VersionsCode::kConflict) ||
      code == static_cast<int>(VersionsCode::kPatchIdReused)) {
    return kExitConflict;
  }
  if (code == static_cast<int>(VersionsCode::kNoSuchVersion) ||
      code == static_cast<int>(OperatorCode::kUnknownResource)) {
    return kExitNotFound;
  }
  if (code == static_cast<int>(ConsensusCode::kNoQuorum)) {
    return kExitNotAccepted;
  }
  if (code == static_cast<int>(ConsensusCode::kOutcomeUnknown) ||
      code == static_cast<int>(OperatorCode::kInternalTimeout)) {
    return kExitUnknown;
  }
  return kExitInvalid;
}

/// Prints a refusal with every fault.
/// @return the exit status.
int PrintError(const Context& context, const ApiAnswer& answer) {
  if (answer.status == 0) {
    context.err << "no answer from " << context.options.api << "\n";
    return kExitUnreachable;
  }
  if (context.options.json) context.out << answer.text;
  if (!answer.body.is_object()) {
    context.err << "unreadable answer: " << answer.text << "\n";
    return kExitUnreachable;
  }
  const json& body = answer.body;
  context.err << "refused: " << body.value("message", "") << " ("
              << body.value("code", 0) << " " << body.value("name", "") << ")";
  if (body.contains("latest")) {
    context.err << "; latest version is " << body["latest"];
  }
  if (body.contains("detail")) {
    context.err << "; " << body["detail"].get<std::string>();
  }
  context.err << "\n";
  for (const json& fault : body.value("faults", json::array())) {
    context.err << "  " << fault.value("pointer", "") << ": "
                << fault.value("message", "") << "\n";
  }
  return ExitOf(body.value("code", 0));
}

/// Asks for a path and prints the answer by `print`, or as JSON.
int Show(const Context& context, const std::string& path,
         const std::function<void(const json&)>& print) {
  const ApiAnswer answer = context.api.Ask(path);
  if (answer.status != 200) return PrintError(context, answer);
  if (context.options.json) {
    context.out << answer.text;
  } else {
    print(answer.body);
  }
  return kExitOk;
}

int Propose(const Context& context) {
  const CommandOptions& options = context.options;
  if (options.base < 0 || options.patch_id.empty() ||
      (options.patch_file.empty() && options.restore == 0)) {
    context.err << "propose needs --base, --patch_id and --patch or "
                   "--restore\n";
    return kExitUsage;
  }
  json body = {{"patch_id", options.patch_id},
               {"base", options.base},
               {"author", options.author},
               {"restore_content_of", options.restore},
               {"patch", json::array()}};
  if (!options.patch_file.empty()) {
    std::ifstream file(options.patch_file);
    std::ostringstream text;
    text << file.rdbuf();
    body["patch"] = json::parse(text.str(), nullptr, false, true);
    if (!file || body["patch"].is_discarded()) {
      context.err << options.patch_file << ": no readable JSON\n";
      return kExitInvalid;
    }
  }
  const ApiAnswer answer = context.api.Post("/v1/patches", body.dump());
  if (answer.status != 200) return PrintError(context, answer);
  if (options.json) {
    context.out << answer.text;
  } else {
    context.out << "accepted as version " << answer.body["number"] << "\n";
  }
  return kExitOk;
}

int ShowVersion(const Context& context) {
  const std::string number = context.Operand(1);
  return Show(context, "/v1/versions/" + (number.empty() ? "latest" : number),
              [&](const json& body) {
                context.out << "version " << body["number"] << "\n"
                            << body["document"].dump(2) << "\n";
              });
}

int History(const Context& context) {
  return Show(context,
              "/v1/versions?most=" + std::to_string(context.options.most),
              [&](const json& rows) {
                for (const json& row : rows) {
                  context.out << row["number"] << "  "
                              << row["patch_id"].get<std::string>() << "  "
                              << row["author"].get<std::string>() << "\n";
                }
              });
}

int Status(const Context& context) {
  return Show(context, "/v1/status", [&](const json& body) {
    for (const auto& [name, value] : body.items()) {
      context.out << name << ": "
                  << (value.is_string() ? value.get<std::string>()
                                        : value.dump())
                  << "\n";
    }
  });
}

int Upstreams(const Context& context) {
  return Show(context, "/v1/instances", [&](const json& rows) {
    for (const json& row : rows) {
      context.out << row["failure_domain"].get<std::string>() << "  "
                  << row["instance"].get<std::string>() << "  "
                  << row["state"].get<std::string>() << "  "
                  << row["service"].get<std::string>() << "  "
                  << row["upstream"].get<std::string>() << "  version "
                  << row["version_in_use"] << "\n";
    }
  });
}

int Drain(const Context& context) {
  const ApiAnswer answer = context.api.Post("/v1/drain", "");
  if (answer.status != 200) return PrintError(context, answer);
  context.out << (context.options.json ? "{}" : "draining") << "\n";
  return kExitOk;
}

void PrintProgress(const Context& context, const json& body) {
  for (const json& domain : body["domains"]) {
    context.out << domain["failure_domain"].get<std::string>() << ": "
                << domain["in_force"] << " of " << domain["daemons"];
    if (!domain["reachable"].get<bool>()) context.out << " (not reachable)";
    context.out << "\n";
  }
}

int Watch(const Context& context) {
  const std::string number = context.Operand(1);
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::seconds(context.options.timeout_s);
  std::string shown;
  while (true) {
    const ApiAnswer answer = context.api.Ask("/v1/in-force/" + number);
    if (answer.status != 200) return PrintError(context, answer);
    if (answer.text != shown) {
      shown = answer.text;
      if (context.options.json) {
        context.out << answer.text;
      } else {
        PrintProgress(context, answer.body);
      }
    }
    if (answer.body["everywhere"].get<bool>()) {
      if (!context.options.json) {
        context.out << "version " << number << " is in force everywhere\n";
      }
      return kExitOk;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      context.err << "version " << number << " is not in force everywhere\n";
      return kExitTimeout;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

/// Prints every fault of a settings file.
SettingsLoad LoadAndPrint(const Context& context, const std::string& path) {
  SettingsLoad load = LoadDaemonSettings(path);
  for (const SettingsFault& fault : load.faults) {
    context.err << path << ": " << fault.pointer << ": " << fault.message
                << "\n";
  }
  return load;
}

int CheckSettings(const Context& context) {
  SettingsLoad load = LoadAndPrint(context, context.Operand(1));
  if (load.error) return kExitInvalid;
  context.out << (context.options.json ? "{\"faults\":[]}" : "no faults")
              << "\n";
  return kExitOk;
}

int FoundReplicaCommand(const Context& context) {
  SettingsLoad load = LoadAndPrint(context, context.options.settings_file);
  if (load.error) return kExitInvalid;
  if (load.settings->data_folder.empty()) {
    context.err << "the settings name no /replica/data_folder\n";
    return kExitInvalid;
  }
  std::error_code error;
  auto folder = OpenDataFolder(load.settings->data_folder, error);
  if (!error) {
    error =
        FoundReplica(*folder, load.settings->instance, load.settings->replicas);
  }
  if (error) {
    context.err << load.settings->data_folder << ": " << error.message() << " ("
                << error.value() << ")\n";
    return kExitInvalid;
  }
  context.out << "founded " << load.settings->data_folder << "\n";
  return kExitOk;
}

int DescribeSettings(const Context& context) {
  context.out << DescribeDaemonSettings();
  return kExitOk;
}

using Command = int (*)(const Context&);

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"propose", &Propose},
      {"show", &ShowVersion},
      {"history", &History},
      {"watch", &Watch},
      {"status", &Status},
      {"upstreams", &Upstreams},
      {"drain", &Drain},
      {"check-settings", &CheckSettings},
      {"found-replica", &FoundReplicaCommand},
      {"describe-settings", &DescribeSettings}};
  return commands;
}

}  // namespace

std::string UsageText() {
  return "the operators' tool\n\n"
         "  hibiscusgladectl [--api IP:PORT] [--json] COMMAND\n\n"
         "Configuration:\n"
         "  propose --base N --patch_id ID --patch FILE   propose a patch\n"
         "  propose --base N --patch_id ID --restore M    go back to the "
         "content of M\n"
         "  show [N]            print a version, the latest by default\n"
         "  history [--most N]  list versions, newest first\n"
         "  watch N [--timeout S]  wait until a version is in force "
         "everywhere\n"
         "Mesh:\n"
         "  status              this daemon\n"
         "  upstreams           all instances known\n"
         "  drain               take the local upstream out of service\n"
         "Files:\n"
         "  check-settings FILE          list every fault\n"
         "  describe-settings            print all settings as a table\n"
         "  found-replica --settings F   prepare a new mesh's replica\n\n"
         "Exit status: 0 done, 1 usage, 2 invalid, 3 conflict, 4 not "
         "accepted,\n5 outcome unknown, 6 timeout, 7 unreachable, 8 not "
         "found.";
}

int RunCommand(const CommandOptions& options, std::ostream& out,
               std::ostream& err) {
  const Context context{options, ApiClient(options.api), out, err};
  auto command = Commands().find(context.Operand(0));
  if (command == Commands().end()) {
    err << "unknown command \"" << context.Operand(0) << "\"; see --help\n";
    return kExitUsage;
  }
  return command->second(context);
}

}  // namespace hibiscusglade
