#include "base/strict_json.h"

#include <set>
#include <stdexcept>
#include <vector>

namespace hibiscusglade {
namespace {

using nlohmann::json;

/// Follows the parser through a text and throws at what is refused.
class StrictnessCheck {
 public:
  bool operator()(int depth, json::parse_event_t event, const json& parsed) {
    switch (event) {
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        Open(depth);
        break;
      case json::parse_event_t::key:
        Field(depth, parsed.get_ref<const std::string&>());
        break;
      default:
        break;
    }
    return true;
  }

 private:
  void Open(int depth) {
    if (depth >= kMaxJsonDepth) {
      throw std::invalid_argument("nested deeper than " +
                                  std::to_string(kMaxJsonDepth) + " levels");
    }
    // The fields of an object that starts at a depth come one level deeper.
    fields_.resize(static_cast<size_t>(depth) + 2);
    fields_.back().clear();
  }

  void Field(int depth, const std::string& name) {
    if (!fields_[static_cast<size_t>(depth)].insert(name).second) {
      throw std::invalid_argument("field \"" + name + "\" stands twice");
    }
  }

  std::vector<std::set<std::string>> fields_;
};

/// @return the parser's message without the bytes that it quotes from the
/// text, which may be no UTF-8.
std::string Printable(std::string message) {
  for (char& c : message) {
    if (c < ' ' || c > '~') c = '?';
  }
  return message;
}

}  // namespace

StrictJson ParseStrictJson(std::string_view text) {
  StrictnessCheck check;
  const json::parser_callback_t follow =
      [&check](int depth, json::parse_event_t event, json& parsed) {
        return check(depth, event, parsed);
      };
  try {
    return {json::parse(text, follow, true, true), ""};
  } catch (const json::exception& error) {
    return {json(), Printable(error.what())};
  } catch (const std::invalid_argument& error) {
    return {json(), error.what()};
  }
}

}  // namespace hibiscusglade
