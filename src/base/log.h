#ifndef HIBISCUSGLADE_BASE_LOG_H_
#define HIBISCUSGLADE_BASE_LOG_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace hibiscusglade {

// Prefixes: app, consensus, control, distribution, entry, http, owner,
// requests.

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging to standard output for the process.
/// @param level lowest level that is written.
/// @param instance name of this instance, written on each line.
/// @param failure_domain name of its failure domain, written on each line.
void InitLogging(LogLevel level, std::string_view instance,
                 std::string_view failure_domain);

/// What a line tells beside its sentence, as key=value.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Bounds the lines of one kind, so that logging never slows what it tells of.
class LogBudget {
 public:
  /// @param lines_per_second lines let through in each second.
  explicit LogBudget(uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// @return whether a line may be written now.
  bool Take(Instant now);

  /// @return how many lines were left out since the last call.
  uint64_t TakeLeftOut() { return std::exchange(left_out_, 0); }

 private:
  uint32_t lines_per_second_;
  Instant second_;
  uint32_t taken_ = 0;
  uint64_t left_out_ = 0;
};

/// Writes one short sentence.
/// @param level level of the line.
/// @param part fixed prefix of the part that writes, out of the list above.
/// @param sentence what happened.
/// @param fields inputs that decided, their age or version, and the outcome.
void Log(LogLevel level, std::string_view part, const std::string& sentence,
         const LogFields& fields = {});

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_LOG_H_
