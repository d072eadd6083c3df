#ifndef HIBISCUSGLADE_VERSIONS_INTERNAL_CONFIG_ELEMENTS_H_
#define HIBISCUSGLADE_VERSIONS_INTERNAL_CONFIG_ELEMENTS_H_

#include <map>
#include <string>

#include "base/settings_reader.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Each reads one element of a document and records faults in the reader.
/// @param name key of the element.
ServiceConfig ReadService(const std::string& name, SettingsReader& reader);
ClassConfig ReadClass(const std::string& name, SettingsReader& reader);
RouteConfig ReadRoute(const std::string& name, SettingsReader& reader);
CustomerConfig ReadCustomer(const std::string& name, SettingsReader& reader);
LimitsConfig ReadLimits(SettingsReader& reader);

/// Checks what elements say about each other and records faults in the reader.
void CheckReferences(const ConfigDocument& document, SettingsReader& reader);

/// Checks that no key belongs to two customers, or twice to one, and records
/// faults in the reader, which don't contain the key.
void CheckKeys(const std::map<std::string, CustomerConfig>& customers,
               SettingsReader& reader);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_INTERNAL_CONFIG_ELEMENTS_H_
