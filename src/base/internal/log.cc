#include "base/log.h"

#include <boost/log/core.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace hibiscusglade {

std::string MillisText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string MillisText(const std::optional<Duration>& duration) {
  return duration.has_value() ? MillisText(*duration) : "-";
}

namespace {

namespace trivial = boost::log::trivial;

trivial::severity_level SeverityOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return trivial::debug;
    case LogLevel::kInfo:
      return trivial::info;
    case LogLevel::kWarning:
      return trivial::warning;
    case LogLevel::kError:
      break;
  }
  return trivial::error;
}

/// Replaces spaces, control characters and non-ASCII bytes in values by '_':
/// values may hold bytes from outside the daemon, which must not be able to
/// imitate another field or line.
std::string FormatFields(const LogFields& fields) {
  std::string text;
  for (const auto& [key, value] : fields) {
    text.append(" ").append(key).append("=");
    for (char c : value) text += c > ' ' && c <= '~' ? c : '_';
  }
  return text;
}

std::string& InstanceTag() {
  static std::string tag;
  return tag;
}

}  // namespace

void InitLogging(LogLevel level, std::string_view instance,
                 std::string_view failure_domain) {
  InstanceTag() = std::string(instance) + "@" + std::string(failure_domain);
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::cout, boost::log::keywords::auto_flush = true,
      boost::log::keywords::format = "%TimeStamp% %Severity% %Message%");
  boost::log::core::get()->set_filter(trivial::severity >= SeverityOf(level));
}

bool LogRateLimiter::AllowLine(Instant now) {
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    lines_in_window_ = 0;
  }
  if (lines_in_window_ >= lines_per_second_) {
    ++suppressed_lines_;
    return false;
  }
  ++lines_in_window_;
  return true;
}

void Log(LogLevel level, std::string_view prefix, const std::string& sentence,
         const LogFields& fields) {
  static boost::log::sources::severity_logger_mt<trivial::severity_level>
      logger;
  BOOST_LOG_SEV(logger, SeverityOf(level))
      << "[" << prefix << "] " << InstanceTag() << ": " << sentence
      << FormatFields(fields);
}

}  // namespace hibiscusglade
