#ifndef HIBISCUSGLADE_VERSIONS_CONFIG_READER_H_
#define HIBISCUSGLADE_VERSIONS_CONFIG_READER_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Reads a configuration document and checks fields, units and references.
/// @return the document, or every fault with its JSON pointer.
ConfigParseResult ParseConfigDocument(std::string_view text);

/// Reads the fields of a document. With a reader made by
/// SettingsReader::ForDescription(), records their descriptions instead.
ConfigDocument ReadConfigDocument(SettingsReader& reader);

/// Applies an RFC 6902 patch to a document's text.
/// @param faults receives the reasons why the patch does not apply.
/// @return the canonical text of the result; nullopt on a fault.
std::optional<std::string> ApplyPatch(std::string_view text,
                                      std::string_view patch,
                                      std::vector<SettingsFault>& faults);

/// Builds a version from its text.
/// @return nullptr, with `faults` filled, when the text is not valid.
ConfigVersionPtr MakeConfigVersion(uint64_t number, uint64_t parent,
                                   std::string text, std::string patch,
                                   std::vector<SettingsFault>& faults);

/// Builds a version from its text.
/// @param value the same text, parsed.
/// @return nullptr, with `faults` filled, when the text is not valid.
ConfigVersionPtr MakeConfigVersion(uint64_t number, uint64_t parent,
                                   std::string text,
                                   const nlohmann::json& value,
                                   std::string patch,
                                   std::vector<SettingsFault>& faults);

/// @return version 0, from which every mesh starts: no services, no routes.
ConfigVersionPtr EmptyConfigVersion();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_CONFIG_READER_H_
