#include "ctl/internal/command_context.h"

#include <nlohmann/json.hpp>

#include "base/settings_faults.h"

namespace hibiscusglade {

using nlohmann::json;

void PrintFault(std::ostream& err, const std::string& pointer,
                const std::string& message) {
  if (!pointer.empty()) err << pointer << ": ";
  err << message << "\n";
}

void PrintFileFaults(const Context& context, const std::string& path,
                     const std::vector<SettingsFault>& faults) {
  const json rows = FaultsJson(faults);
  for (const SettingsFault& fault : faults) {
    context.err << path << ": ";
    PrintFault(context.err, fault.pointer, fault.message);
  }
  if (context.options.json) {
    context.out << json({{"file", path}, {"faults", rows}}).dump() << "\n";
  }
}

}  // namespace hibiscusglade
