#ifndef HIBISCUSGLADE_BASE_STRICT_JSON_H_
#define HIBISCUSGLADE_BASE_STRICT_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace hibiscusglade {

/// Maximum nesting of objects and arrays. The JSON library serializes and
/// copies values recursively: deep nesting would overflow the stack.
constexpr int kMaxJsonDepth = 32;

/// Result of ParseStrictJson().
struct StrictJsonResult {
  nlohmann::json value;
  std::string fault;  ///< Why the text is refused; empty when it is valid.
};

/// Parses JSON from an untrusted source; comments are allowed. Refuses nesting
/// beyond kMaxJsonDepth and objects with a repeated field.
StrictJsonResult ParseStrictJson(std::string_view text);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_STRICT_JSON_H_
