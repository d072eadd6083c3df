#include "ctl/internal/settings_commands.h"

#include <nlohmann/json.hpp>

#include "base/data_folder.h"
#include "consensus/replica.h"
#include "settings/daemon_settings.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

/// Loads a settings file and prints its faults.
SettingsLoadResult LoadAndPrint(const Context& context,
                                const std::string& path) {
  SettingsLoadResult load = LoadDaemonSettings(path);
  if (load.error) PrintFileFaults(context, path, load.faults);
  return load;
}

}  // namespace

int CheckSettings(const Context& context) {
  SettingsLoadResult load = LoadAndPrint(context, context.Argument(1));
  if (load.error) return kExitInvalid;
  if (context.options.json) {
    PrintFileFaults(context, context.Argument(1), {});
  } else {
    context.out << "no faults\n";
  }
  return kExitOk;
}

int FoundReplicaCommand(const Context& context) {
  SettingsLoadResult load =
      LoadAndPrint(context, context.options.settings_file);
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
  const std::string& path = load.settings->data_folder;
  if (context.options.json) {
    context.out << json({{"founded", path}}).dump() << "\n";
  } else {
    context.out << "founded " << path << "\n";
  }
  return kExitOk;
}

int DescribeSettings(const Context& context) {
  if (!context.options.json) {
    context.out << DescribeDaemonSettings();
    return kExitOk;
  }
  SettingsReader reader = SettingsReader::ForDescription();
  ReadDaemonSettings(reader);
  json rows = json::array();
  for (const SettingDoc& doc : reader.Docs()) {
    rows.push_back({{"pointer", doc.pointer},
                    {"type", doc.type},
                    {"unit", doc.unit},
                    {"range", doc.range},
                    {"default", doc.default_value},
                    {"text", doc.text}});
  }
  context.out << rows.dump() << "\n";
  return kExitOk;
}

}  // namespace hibiscusglade
