#include "base/settings_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/socket_address.h"
#include "base/strict_json.h"

namespace hibiscusglade {

using nlohmann::json;

struct SettingsReader::Shared {
  json root = json::object();
  bool describing = false;
  /// The text is not valid JSON, so that missing fields are not reported.
  bool parse_failed = false;
  std::vector<SettingsFault> faults;
  std::vector<SettingDoc> docs;
};

namespace {

std::string EscapedToken(std::string_view name) {
  std::string escaped;
  for (char c : name) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string RangeText(const NumberSpec& spec) {
  return std::to_string(spec.lowest) + " to " + std::to_string(spec.highest);
}

std::string NumberExpectation(const NumberSpec& spec,
                              std::string_view kind = "a whole number") {
  std::string text =
      "expected " + std::string(kind) + " from " + RangeText(spec);
  if (!spec.unit.empty()) text += " (" + std::string(spec.unit) + ")";
  return text;
}

std::string Joined(const std::vector<std::string_view>& words) {
  std::string joined;
  for (std::string_view word : words) {
    if (!joined.empty()) joined += ", ";
    joined += word;
  }
  return joined;
}

/// @return the part of a fault that quotes a value, unless it is secret.
std::string Found(const json& value, const TextSpec& spec) {
  return spec.secret ? std::string() : ", found " + value.dump();
}

bool IsAllowed(const TextSpec& spec, const std::string& text) {
  return spec.allowed.empty() ||
         std::find(spec.allowed.begin(), spec.allowed.end(), text) !=
             spec.allowed.end();
}

}  // namespace

SettingsReader::SettingsReader(std::string_view text)
    : shared_(std::make_shared<Shared>()) {
  StrictJsonResult parsed = ParseStrictJson(text);
  if (!parsed.fault.empty()) {
    shared_->faults.push_back({"", parsed.fault});
    shared_->parse_failed = true;
    return;
  }
  shared_->root = std::move(parsed.value);
  if (!shared_->root.is_object()) {
    shared_->faults.push_back({"", "expected an object"});
    shared_->root = json::object();
  }
  object_ = &shared_->root;
}

SettingsReader SettingsReader::FromValue(const json& value) {
  SettingsReader reader("{}");
  if (value.is_object()) {
    reader.object_ = &value;
  } else {
    reader.shared_->faults.push_back({"", "expected an object"});
  }
  return reader;
}

SettingsReader::SettingsReader(std::shared_ptr<Shared> shared,
                               std::string pointer, const json* object)
    : shared_(std::move(shared)),
      pointer_(std::move(pointer)),
      object_(object) {}

const json* SettingsReader::Find(std::string_view name) const {
  if (object_ == nullptr || !object_->is_object()) return nullptr;
  const auto found = object_->find(name);
  return found == object_->end() ? nullptr : &*found;
}

SettingsReader::~SettingsReader() {
  if (shared_ != nullptr && !pointer_.empty()) Finish();
}

SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;

SettingsReader SettingsReader::ForDescription() {
  SettingsReader reader("{}");
  reader.shared_->describing = true;
  return reader;
}

int64_t SettingsReader::Number(std::string_view name, const NumberSpec& spec) {
  if (MarkKnown(name)) {
    const std::string default_text =
        spec.required ? "required" : std::to_string(spec.default_value);
    Describe(name, {"", "number", std::string(spec.unit), RangeText(spec),
                    default_text, std::string(spec.text)});
  }
  const json* value = Find(name);
  if (value == nullptr) {
    if (spec.required) Fault(name, "missing; " + NumberExpectation(spec));
    return spec.default_value;
  }
  if (!value->is_number_integer() || *value < spec.lowest ||
      *value > spec.highest) {
    Fault(name, NumberExpectation(spec) + ", found " + value->dump());
    return spec.default_value;
  }
  return value->get<int64_t>();
}

double SettingsReader::Decimal(std::string_view name, const NumberSpec& spec) {
  if (MarkKnown(name)) {
    const std::string default_text =
        spec.required ? "required" : std::to_string(spec.default_value);
    Describe(name, {"", "decimal", std::string(spec.unit), RangeText(spec),
                    default_text, std::string(spec.text)});
  }
  const json* value = Find(name);
  const std::string expectation = NumberExpectation(spec, "a number");
  if (value == nullptr) {
    if (spec.required) Fault(name, "missing; " + expectation);
    return static_cast<double>(spec.default_value);
  }
  if (!value->is_number() || *value < spec.lowest || *value > spec.highest) {
    Fault(name, expectation + ", found " + value->dump());
    return static_cast<double>(spec.default_value);
  }
  return value->get<double>();
}

std::string SettingsReader::Text(std::string_view name, const TextSpec& spec) {
  if (MarkKnown(name)) {
    const std::string default_text =
        spec.required ? "required" : std::string(spec.default_value);
    Describe(name, {"", "text", "", Joined(spec.allowed), default_text,
                    std::string(spec.text)});
  }
  const json* value = Find(name);
  if (value == nullptr) {
    if (spec.required) Fault(name, "missing; expected a text");
    return std::string(spec.default_value);
  }
  if (!value->is_string() || (spec.required && value->empty()) ||
      (spec.required && *value == "")) {
    Fault(name, "expected a text, found " + value->dump());
    return std::string(spec.default_value);
  }
  auto text = value->get<std::string>();
  if (IsAllowed(spec, text)) return text;
  Fault(name,
        "expected one of " + Joined(spec.allowed) + ", found " + value->dump());
  return std::string(spec.default_value);
}

bool SettingsReader::Flag(std::string_view name, bool default_value,
                          std::string_view text) {
  if (MarkKnown(name)) {
    Describe(name, {"", "flag", "", "true, false",
                    default_value ? "true" : "false", std::string(text)});
  }
  const json* value = Find(name);
  if (value == nullptr) return default_value;
  if (value->is_boolean()) return value->get<bool>();
  Fault(name, "expected true or false, found " + value->dump());
  return default_value;
}

std::string SettingsReader::IpAddress(std::string_view name,
                                      const TextSpec& spec) {
  std::string text = Text(name, spec);
  if (!text.empty() && !SocketAddressOf(text, 0).has_value()) {
    Fault(name, "expected an IPv4 address in figures, found \"" + text + "\"");
  }
  return text;
}

SettingsReader SettingsReader::Object(std::string_view name,
                                      std::string_view text) {
  if (MarkKnown(name)) {
    Describe(name, {"", "object", "", "", "", std::string(text)});
  }
  const json* value = Find(name);
  if (value != nullptr && !value->is_object()) {
    Fault(name, "expected an object, found " + value->dump());
  }
  return {shared_, PointerOf(name), value};
}

bool SettingsReader::Has(std::string_view name) const {
  return shared_->describing || Find(name) != nullptr;
}

std::string SettingsReader::Json(std::string_view name, std::string_view text) {
  if (MarkKnown(name)) {
    Describe(name, {"", "JSON", "", "", "", std::string(text)});
  }
  const json* value = Find(name);
  return value == nullptr ? "" : value->dump();
}

void SettingsReader::Array(std::string_view name, std::string_view text,
                           const std::function<void(SettingsReader&)>& read) {
  if (MarkKnown(name)) {
    Describe(name, {"", "array", "", "", "", std::string(text)});
  }
  if (shared_->describing) {
    SettingsReader element(shared_, PointerOf(name) + "/*", nullptr);
    read(element);
    return;
  }
  const json* value = Find(name);
  if (value == nullptr) return;
  if (!value->is_array()) {
    Fault(name, "expected an array, found " + value->dump());
    return;
  }
  for (size_t i = 0; i < value->size(); ++i) {
    SettingsReader element(shared_, PointerOf(name) + "/" + std::to_string(i),
                           &value->at(i));
    if (!value->at(i).is_object()) {
      element.Fault("", "expected an object, found " + value->at(i).dump());
      continue;
    }
    read(element);
  }
}

void SettingsReader::Map(
    std::string_view name, std::string_view text,
    const std::function<void(const std::string&, SettingsReader&)>& read) {
  if (MarkKnown(name)) {
    Describe(name, {"", "object of objects", "", "", "", std::string(text)});
  }
  if (shared_->describing) {
    SettingsReader element(shared_, PointerOf(name) + "/*", nullptr);
    read("*", element);
    return;
  }
  const json* value = Find(name);
  if (value == nullptr) return;
  if (!value->is_object()) {
    Fault(name, "expected an object, found " + value->dump());
    return;
  }
  for (const auto& [key, field] : value->items()) {
    SettingsReader element(shared_, PointerOf(name) + "/" + EscapedToken(key),
                           &field);
    if (!field.is_object()) {
      element.Fault("", "expected an object, found " + field.dump());
      continue;
    }
    read(key, element);
  }
}

std::vector<std::string> SettingsReader::Texts(std::string_view name,
                                               const TextSpec& spec) {
  if (MarkKnown(name)) {
    Describe(name, {"", "array of texts", "", Joined(spec.allowed),
                    std::string(spec.default_value), std::string(spec.text)});
  }
  std::vector<std::string> texts;
  const json* value = Find(name);
  if (value == nullptr) {
    if (spec.required) Fault(name, "missing; expected an array of texts");
    return texts;
  }
  if (!value->is_array()) {
    Fault(name, "expected an array of texts" + Found(*value, spec));
    return texts;
  }
  for (size_t i = 0; i < value->size(); ++i) {
    const std::string element = std::string(name) + "/" + std::to_string(i);
    const json& text = value->at(i);
    const bool allowed =
        text.is_string() && IsAllowed(spec, text.get<std::string>());
    if (allowed) {
      texts.push_back(text.get<std::string>());
      continue;
    }
    shared_->faults.push_back(
        {pointer_ + "/" + element,
         "expected a text" +
             (spec.allowed.empty() ? std::string()
                                   : " out of " + Joined(spec.allowed)) +
             Found(text, spec)});
  }
  return texts;
}

void SettingsReader::Fault(std::string_view name, const std::string& message) {
  if (shared_->describing || shared_->parse_failed) return;
  shared_->faults.push_back(
      {name.empty() ? pointer_ : PointerOf(name), message});
}

void SettingsReader::FaultAt(const std::string& pointer,
                             const std::string& message) {
  if (!shared_->describing) shared_->faults.push_back({pointer, message});
}

void SettingsReader::Finish() {
  if (shared_->describing) return;
  const json* value = object_;
  if (value == nullptr || !value->is_object()) return;
  for (const auto& [name, field] : value->items()) {
    if (std::find(known_fields_.begin(), known_fields_.end(), name) ==
        known_fields_.end()) {
      Fault(name, "unknown field");
    }
  }
}

const std::vector<SettingsFault>& SettingsReader::Faults() const {
  return shared_->faults;
}

const std::vector<SettingDoc>& SettingsReader::Docs() const {
  return shared_->docs;
}

std::string SettingsReader::PointerOf(std::string_view name) const {
  return pointer_ + "/" + EscapedToken(name);
}

bool SettingsReader::MarkKnown(std::string_view name) {
  known_fields_.push_back(name);
  return shared_->describing;
}

void SettingsReader::Describe(std::string_view name, const SettingDoc& doc) {
  SettingDoc row = doc;
  row.pointer = PointerOf(name);
  shared_->docs.push_back(std::move(row));
}

}  // namespace hibiscusglade
