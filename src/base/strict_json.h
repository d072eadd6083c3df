#ifndef HIBISCUSGLADE_BASE_STRICT_JSON_H_
#define HIBISCUSGLADE_BASE_STRICT_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace hibiscusglade {

/// Most objects and arrays inside each other. The JSON library writes and
/// copies values by recursion, so that deeper ones overflow the stack.
constexpr int kMaxJsonDepth = 32;

/// Outcome of parsing a text from outside.
struct StrictJson {
  nlohmann::json value;
  std::string fault;  ///< Empty: the text was read.
};

/// Parses JSON with comments; refuses nesting beyond kMaxJsonDepth and
/// objects that hold a field twice.
StrictJson ParseStrictJson(std::string_view text);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_STRICT_JSON_H_
