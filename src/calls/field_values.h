#ifndef HIBISCUSGLADE_CALLS_FIELD_VALUES_H_
#define HIBISCUSGLADE_CALLS_FIELD_VALUES_H_

#include <strings.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// @return whether two names of header fields are equal, ignoring case.
inline bool EqualFieldNames(std::string_view name, std::string_view other) {
  return name.size() == other.size() &&
         strncasecmp(name.data(), other.data(), name.size()) == 0;
}

/// @return the first field with this name; nullptr when there is none.
inline const HeaderField* FindField(const std::vector<HeaderField>& fields,
                                    std::string_view name) {
  for (const HeaderField& field : fields) {
    if (EqualFieldNames(field.name, name)) return &field;
  }
  return nullptr;
}

/// @param text value of a header field.
/// @return its number; nullopt unless it is a decimal number from 0 to `max`.
inline std::optional<uint32_t> ParseFieldNumber(std::string_view text,
                                                uint32_t max) {
  uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || number > max) return std::nullopt;
  return number;
}

/// Sets the timeout of a request from the value of a header field.
/// @param millis decimal number of milliseconds, at most one day.
/// @return false when it isn't such a number; the timeout is then zero.
inline bool ParseTimeout(std::string_view millis, CallRequest& request) {
  constexpr uint32_t kMaxTimeoutMs = 24U * 3600 * 1000;
  const auto parsed = ParseFieldNumber(millis, kMaxTimeoutMs);
  request.timeout = std::chrono::milliseconds(parsed.value_or(0));
  return parsed.has_value();
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_FIELD_VALUES_H_
