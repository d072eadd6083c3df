#ifndef HIBISCUSGLADE_BASE_SETTINGS_FAULTS_H_
#define HIBISCUSGLADE_BASE_SETTINGS_FAULTS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "base/settings_reader.h"

namespace hibiscusglade {

/// @return the faults as a JSON array of objects with `pointer` and `message`.
inline nlohmann::json FaultsJson(const std::vector<SettingsFault>& faults) {
  nlohmann::json rows = nlohmann::json::array();
  for (const SettingsFault& fault : faults) {
    rows.push_back({{"pointer", fault.pointer}, {"message", fault.message}});
  }
  return rows;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_SETTINGS_FAULTS_H_
