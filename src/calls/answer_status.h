#ifndef HIBISCUSGLADE_CALLS_ANSWER_STATUS_H_
#define HIBISCUSGLADE_CALLS_ANSWER_STATUS_H_

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace hibiscusglade {

inline constexpr int kMinAnswerStatus = 200;
inline constexpr int kMaxAnswerStatus = 599;

/// @return whether a status is that of an answer. A status below is that of a
/// preliminary head; others are none.
constexpr bool IsAnswerStatus(int64_t status) {
  return status >= kMinAnswerStatus && status <= kMaxAnswerStatus;
}

/// Reads a status line of HTTP/1.0 or HTTP/1.1.
/// @param line without its end.
/// @return the status, from 100 to 599; nullopt when there is none.
inline std::optional<int> ParseStatusLine(std::string_view line) {
  constexpr size_t kStatusAt = 9;
  constexpr size_t kStatusDigits = 3;
  constexpr int kMinStatus = 100;
  if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 ")) {
    return std::nullopt;
  }
  line.remove_prefix(kStatusAt);
  const std::string_view digits = line.substr(0, kStatusDigits);
  const std::string_view reason = line.substr(digits.size());
  int status = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, status);
  const bool whole = error == std::errc() && stop == end;
  if (!whole || status < kMinStatus || status > kMaxAnswerStatus ||
      (!reason.empty() && reason.front() != ' ') ||
      reason.find_first_of(std::string_view("\r\n\0", 3)) !=
          std::string_view::npos) {
    return std::nullopt;
  }
  return status;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_ANSWER_STATUS_H_
