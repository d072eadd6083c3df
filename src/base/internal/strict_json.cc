#include "base/strict_json.h"

#include <set>
#include <stdexcept>
#include <vector>

namespace hibiscusglade {
namespace {

using nlohmann::json;

/// Callback of the JSON parser; throws std::invalid_argument on nesting that is
/// too deep and on a repeated field.
class StrictnessCheck {
 public:
  bool operator()(int depth, json::parse_event_t event, const json& parsed) {
    switch (event) {
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        EnterContainer(depth);
        break;
      case json::parse_event_t::key:
        AddField(depth, parsed.get_ref<const std::string&>());
        break;
      default:
        break;
    }
    return true;
  }

 private:
  void EnterContainer(int depth) {
    if (depth >= kMaxJsonDepth) {
      throw std::invalid_argument("nested deeper than " +
                                  std::to_string(kMaxJsonDepth) + " levels");
    }
    // The parser reports the fields of an object one level deeper than the
    // start of the object.
    fields_.resize(static_cast<size_t>(depth) + 2);
    fields_.back().clear();
  }

  void AddField(int depth, const std::string& name) {
    if (!fields_[static_cast<size_t>(depth)].insert(name).second) {
      throw std::invalid_argument("field \"" + name + "\" stands twice");
    }
  }

  /// Names of the fields read so far in each open object, by their depth.
  std::vector<std::set<std::string>> fields_;
};

/// @return the parser's message with non-printable bytes replaced by '?': it
/// quotes the text, which may contain invalid UTF-8.
std::string Printable(std::string message) {
  for (char& c : message) {
    if (c < ' ' || c > '~') c = '?';
  }
  return message;
}

}  // namespace

StrictJsonResult ParseStrictJson(std::string_view text) {
  StrictnessCheck check;
  const json::parser_callback_t callback =
      [&check](int depth, json::parse_event_t event, json& parsed) {
        return check(depth, event, parsed);
      };
  try {
    return {json::parse(text, callback, true, true), ""};
  } catch (const json::exception& error) {
    return {json(), Printable(error.what())};
  } catch (const std::invalid_argument& error) {
    return {json(), error.what()};
  }
}

}  // namespace hibiscusglade
