#include "upstream/internal/answer_head.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string>

#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

bool IsFieldNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsFieldValueCharacter(char c) {
  return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f');
}

/// @return nullopt when it is not a length.
std::optional<int64_t> ParseLength(std::string_view text) {
  int64_t length = -1;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, length);
  if (error != std::errc() || stop != end || text.front() == '-') {
    return std::nullopt;
  }
  return length;
}

}  // namespace

std::optional<HeaderField> ParseAnswerField(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) return std::nullopt;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (!std::ranges::all_of(name, IsFieldNameCharacter) ||
      !std::ranges::all_of(value, IsFieldValueCharacter)) {
    return std::nullopt;
  }
  const size_t first = value.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return HeaderField{std::string(name), ""};
  value = value.substr(first, value.find_last_not_of(" \t") - first + 1);
  return HeaderField{std::string(name), std::string(value)};
}

bool ReadAnswerLength(AnswerHead& head) {
  for (const HeaderField& field : head.headers) {
    if (!EqualFieldNames(field.name, "Content-Length")) continue;
    const auto length = ParseLength(field.value);
    const bool first = head.content_length < 0;
    if (!length || (!first && *length != head.content_length)) return false;
    head.content_length = *length;
  }
  return head.content_length < 0 ||
         FindField(head.headers, "Transfer-Encoding") == nullptr;
}

}  // namespace hibiscusglade
