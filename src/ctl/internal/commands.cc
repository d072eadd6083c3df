#include "ctl/commands.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <thread>

#include "base/settings_faults.h"
#include "base/strict_json.h"
#include "consensus/consensus_result_codes.h"
#include "ctl/internal/command_context.h"
#include "ctl/internal/settings_commands.h"
#include "operator/operator_result_codes.h"
#include "versions/versions_result_codes.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr long kHttpOk = 200;
constexpr std::chrono::milliseconds kWatchPollInterval{200};

bool IsNumber(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

/// @return the exit status for a result code of the daemon.
int ExitStatusOf(int code) {
  if (code == static_cast<int>(VersionsCode::kConflict) ||
      code == static_cast<int>(VersionsCode::kRolloutInProgress) ||
      code == static_cast<int>(VersionsCode::kPatchIdReused)) {
    return kExitConflict;
  }
  if (code == static_cast<int>(VersionsCode::kNoSuchVersion) ||
      code == static_cast<int>(VersionsCode::kNoSuchRollout) ||
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

json ErrorBody(const std::error_code& error) {
  return {{"code", error.value()},
          {"name", FindResultCode(error)->name},
          {"message", error.message()}};
}

void PrintFaults(std::ostream& err, const json& faults) {
  for (const json& fault : faults) {
    err << "  ";
    PrintFault(err, fault.value("pointer", ""), fault.value("message", ""));
  }
}

/// Reports that the daemon gave no readable answer.
/// @return the exit status.
int PrintUnreachable(const Context& context, const ApiAnswer& answer) {
  const std::error_code error = OperatorCode::kUnreachable;
  if (context.options.json) context.out << ErrorBody(error).dump() << "\n";
  context.err << (answer.status == 0 ? "no answer from "
                                     : "no readable answer from ")
              << context.options.api << " (" << error.value() << ")\n";
  return kExitUnreachable;
}

/// Prints the error in an answer, with every fault.
/// @return the exit status.
int PrintError(const Context& context, const ApiAnswer& answer) {
  if (answer.status == 0 || !answer.body.is_object()) {
    return PrintUnreachable(context, answer);
  }
  if (context.options.json) context.out << answer.text;
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
  PrintFaults(context.err, body.value("faults", json::array()));
  return ExitStatusOf(body.value("code", 0));
}

/// Gets a path of the API and prints the answer: with --json as received, else
/// by `print`.
/// @return the exit status.
int GetAndPrint(const Context& context, const std::string& path,
                const std::function<void(const json&)>& print) {
  const ApiAnswer answer = context.api.Get(path);
  if (answer.status != kHttpOk) return PrintError(context, answer);
  if (context.options.json) {
    context.out << answer.text;
  } else {
    print(answer.body);
  }
  return kExitOk;
}

/// Reads a patch file.
/// @param fault set to the reason when the file is unusable, else empty.
json ReadPatch(const std::string& path, std::string& fault) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || !text) {
    fault = "can't be read";
    return {};
  }
  StrictJsonResult parsed = ParseStrictJson(text.str());
  fault = parsed.fault;
  if (fault.empty() && !parsed.value.is_array()) {
    fault = "expected an array of patch operations";
  }
  return std::move(parsed.value);
}

int SendProposal(const Context& context, const json& body) {
  const ApiAnswer answer = context.api.Post("/v1/patches", body.dump());
  if (answer.status == 0 && answer.connected) {
    PrintUnreachable(context, answer);
    context.err << "the outcome is unknown; resend with the same patch id\n";
    return kExitUnknown;
  }
  if (answer.status != kHttpOk) return PrintError(context, answer);
  if (context.options.json) {
    context.out << answer.text;
  } else {
    context.out << "accepted as version " << answer.body["number"] << "\n";
  }
  return kExitOk;
}

int Propose(const Context& context) {
  const CommandOptions& options = context.options;
  if (options.base < 0 || options.patch_id.empty() ||
      (options.patch_file.empty() == (options.restore == 0))) {
    context.err << "propose needs --base, --patch_id and either --patch or "
                   "--restore\n";
    return kExitUsage;
  }
  json body = {{"patch_id", options.patch_id},
               {"base", options.base},
               {"author", options.author},
               {"restore_content_of", options.restore},
               {"patch", json::array()}};
  if (!options.patch_file.empty()) {
    std::string fault;
    body["patch"] = ReadPatch(options.patch_file, fault);
    if (!fault.empty()) {
      PrintFileFaults(context, options.patch_file, {{"", fault}});
      return kExitInvalid;
    }
  }
  return SendProposal(context, body);
}

int ShowVersion(const Context& context) {
  const std::string number = context.Argument(1);
  if (!number.empty() && !IsNumber(number)) {
    context.err << "show takes the number of a version\n";
    return kExitUsage;
  }
  return GetAndPrint(context,
                     "/v1/versions/" + (number.empty() ? "latest" : number),
                     [&](const json& body) {
                       context.out << "version " << body["number"] << "\n"
                                   << body["document"].dump(2) << "\n";
                     });
}

int History(const Context& context) {
  return GetAndPrint(
      context, "/v1/versions?most=" + std::to_string(context.options.max_rows),
      [&](const json& rows) {
        for (const json& row : rows) {
          context.out << row["number"] << "  "
                      << row["patch_id"].get<std::string>() << "  "
                      << row["author"].get<std::string>() << "\n";
        }
      });
}

int PrintFields(const Context& context, const std::string& path) {
  return GetAndPrint(context, path, [&](const json& body) {
    for (const auto& [name, value] : body.items()) {
      context.out << name << ": "
                  << (value.is_string() ? value.get<std::string>()
                                        : value.dump())
                  << "\n";
    }
  });
}

int Status(const Context& context) {
  return PrintFields(context, "/v1/status");
}

/// @return the text as part of a path of the API.
std::string PercentEncoded(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_') {
      out += static_cast<char>(c);
    } else {
      out += {'%', kHex[c / 16], kHex[c % 16]};
    }
  }
  return out;
}

int Limits(const Context& context) {
  const std::string customer = context.Argument(1);
  if (customer.empty()) {
    context.err << "limits needs the name of a customer\n";
    return kExitUsage;
  }
  return PrintFields(context, "/v1/limits/" + PercentEncoded(customer));
}

int Upstreams(const Context& context) {
  return GetAndPrint(context, "/v1/instances", [&](const json& rows) {
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

int Customers(const Context& context) {
  return GetAndPrint(context, "/v1/customers", [&](const json& body) {
    context.out << "version " << body["version"] << ", keys are "
                << (body["keys_required"].get<bool>() ? "" : "not ")
                << "required\n";
    for (const json& row : body["customers"]) {
      context.out << row["customer"].get<std::string>() << "  keys "
                  << row["keys"] << "  rate " << row["rate_per_s"] << "  burst "
                  << row["burst"];
      if (row.contains("priority")) {
        context.out << "  priority " << row["priority"];
      }
      context.out << "\n";
    }
  });
}

int Drain(const Context& context) {
  const ApiAnswer answer = context.api.Post("/v1/drain", "");
  if (answer.status != kHttpOk) return PrintError(context, answer);
  context.out << (context.options.json ? "{}" : "draining") << "\n";
  return kExitOk;
}

void PrintRollout(const Context& context, const json& row) {
  context.out << row["service"].get<std::string>() << "  "
              << row["target_version"].get<std::string>() << "  "
              << row["state"].get<std::string>() << "  "
              << row["share_permille"] << " of 1000  "
              << row["reason"].get<std::string>() << "\n";
}

int StartRollout(const Context& context) {
  const json body = {{"service", context.Argument(2)},
                     {"target_version", context.Argument(3)},
                     {"duration_s", context.options.duration_s}};
  const ApiAnswer answer = context.api.Post("/v1/rollouts", body.dump());
  if (answer.status != kHttpOk) return PrintError(context, answer);
  if (context.options.json) {
    context.out << answer.text;
  } else {
    PrintRollout(context, answer.body);
  }
  return kExitOk;
}

int RolloutCommand(const Context& context) {
  const std::string action = context.Argument(1);
  const std::string service = context.Argument(2);
  if (action == "start" && !context.Argument(3).empty()) {
    return StartRollout(context);
  }
  if (action == "status" && !service.empty()) {
    return GetAndPrint(context, "/v1/rollouts/" + service,
                       [&](const json& row) { PrintRollout(context, row); });
  }
  if (action == "list") {
    return GetAndPrint(context, "/v1/rollouts", [&](const json& rows) {
      for (const json& row : rows) PrintRollout(context, row);
    });
  }
  context.err << "rollout takes start SERVICE VERSION, status SERVICE or "
                 "list\n";
  return kExitUsage;
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
  const std::string number = context.Argument(1);
  if (!IsNumber(number)) {
    context.err << "watch needs the number of a version\n";
    return kExitUsage;
  }
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::seconds(context.options.timeout_s);
  std::string last_printed;
  while (true) {
    const ApiAnswer answer = context.api.Get("/v1/in-force/" + number);
    if (answer.status != kHttpOk) return PrintError(context, answer);
    if (answer.text != last_printed) {
      last_printed = answer.text;
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
      const std::error_code error = OperatorCode::kWatchTimeout;
      if (context.options.json) context.out << ErrorBody(error).dump() << "\n";
      context.err << "version " << number << " is not in force everywhere\n";
      return kExitTimeout;
    }
    std::this_thread::sleep_for(kWatchPollInterval);
  }
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
      {"customers", &Customers},
      {"limits", &Limits},
      {"drain", &Drain},
      {"rollout", &RolloutCommand},
      {"check-settings", &CheckSettings},
      {"found-replica", &FoundReplicaCommand},
      {"describe-settings", &DescribeSettings}};
  return commands;
}

}  // namespace

std::string UsageText() {
  return R"(hibiscusgladectl: the operators' tool

  hibiscusgladectl [--api IP:PORT] [--json] COMMAND

Configuration:
  propose --base N --patch_id ID --patch FILE [--author NAME]
                               propose an RFC 6902 patch of version N
  propose --base N --patch_id ID --restore M [--author NAME]
                               restore the content of version M
  show [N]                     print a version, the latest by default
  history [--most ROWS]        list versions, newest first (20)
  watch N [--timeout SECONDS]  wait until N is in force everywhere (30)
Rollouts:
  rollout start SERVICE VERSION --duration SECONDS
                               move a service to upstreams of this version
  rollout status SERVICE       print its last rollout
  rollout list                 print the last rollout of each service
Mesh:
  status                       show the state of the daemon
  upstreams                    list all known instances
  customers                    list customers, their limits and number of keys
  limits CUSTOMER              show a customer's limit, as the daemon knows it
  drain                        take the local upstream out of service
Files:
  check-settings FILE          list every fault of a settings file
  describe-settings            print all settings as a table
  found-replica --settings FILE
                               initialize the data folder of a replica of a
                               new mesh; works only once
All commands:
  --api IP:PORT                operators' API of a daemon (127.0.0.1:7003)
  --json                       print answers, including refusals, as JSON

Exit status: 0 done, 1 usage, 2 invalid, 3 conflict, 4 not accepted,
5 outcome unknown (resend with the same patch id), 6 timeout,
7 unreachable, 8 not found.
)";
}

int RunCommand(const CommandOptions& options, std::ostream& out,
               std::ostream& err) {
  const Context context{options, ApiClient(options.api), out, err};
  auto command = Commands().find(context.Argument(0));
  if (command == Commands().end()) {
    err << "unknown command \"" << context.Argument(0) << "\"; see --help\n";
    return kExitUsage;
  }
  return command->second(context);
}

}  // namespace hibiscusglade
