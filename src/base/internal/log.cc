#include "base/log.h"

#include <boost/log/core.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace hibiscusglade {
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

/// Bytes from outside may stand in a value; they must not look like a line.
std::string TextOf(const LogFields& fields) {
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

bool LogBudget::Take(Instant now) {
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    taken_ = 0;
  }
  if (taken_ >= lines_per_second_) {
    ++left_out_;
    return false;
  }
  ++taken_;
  return true;
}

void Log(LogLevel level, std::string_view part, const std::string& sentence,
         const LogFields& fields) {
  static boost::log::sources::severity_logger_mt<trivial::severity_level>
      logger;
  BOOST_LOG_SEV(logger, SeverityOf(level))
      << "[" << part << "] " << InstanceTag() << ": " << sentence
      << TextOf(fields);
}

}  // namespace hibiscusglade
