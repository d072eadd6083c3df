#ifndef HIBISCUSGLADE_BASE_LOG_H_
#define HIBISCUSGLADE_BASE_LOG_H_

#include <string>
#include <string_view>

namespace hibiscusglade {

// Prefixes: app, consensus, control, distribution, http, owner, requests.

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging to standard error for the process.
/// @param level lowest level that is written.
/// @param instance name of this instance, written on each line.
/// @param failure_domain name of its failure domain, written on each line.
void InitLogging(LogLevel level, std::string_view instance,
                 std::string_view failure_domain);

/// Writes one short sentence.
/// @param level level of the line.
/// @param part fixed prefix of the part that writes, out of the list above.
/// @param sentence what happened.
void Log(LogLevel level, std::string_view part, const std::string& sentence);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_LOG_H_
