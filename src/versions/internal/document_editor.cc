#include "versions/document_editor.h"

#include <nlohmann/json.hpp>

#include "versions/config_reader.h"
#include "versions/internal/config_elements.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

/// Room for the elements that a patch adds to a document's text.
constexpr size_t kTextReserveBytes = 4096;

constexpr char kServices[] = "services";
constexpr char kClasses[] = "classes";
constexpr char kRoutes[] = "routes";
constexpr char kCustomers[] = "customers";

bool IsCollection(const std::string& field) {
  return field == kServices || field == kClasses || field == kRoutes ||
         field == kCustomers;
}

/// @return the key of a field or element as it stands before its value.
std::string KeyText(const std::string& key) { return json(key).dump() + ':'; }

/// @param element key and text of an element.
json ValueOf(const std::pair<const std::string, std::string>& element) {
  const size_t key_bytes = KeyText(element.first).size();
  return json::parse(std::string_view(element.second).substr(key_bytes));
}

/// @return the reference tokens of a JSON pointer, unescaped.
std::vector<std::string> TokensOf(json::json_pointer pointer) {
  std::vector<std::string> tokens;
  for (; !pointer.empty(); pointer.pop_back()) {
    tokens.insert(tokens.begin(), pointer.back());
  }
  return tokens;
}

/// @return the string in a field; empty when it is absent or of another type.
std::string TextField(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

/// Reads one element, and replaces it in a collection.
template <typename Element, typename Read>
bool Replace(const std::string& key, const json& value, const Read& read,
             std::map<std::string, Element>& collection) {
  if (!value.is_object()) return false;
  SettingsReader reader = SettingsReader::FromValue(value);
  Element element = read(key, reader);
  reader.Finish();
  if (!reader.Faults().empty()) return false;
  collection.insert_or_assign(key, std::move(element));
  return true;
}

/// Moves an element to another collection, or erases it there.
template <typename Element>
void MoveElement(const std::string& key, bool exists,
                 std::map<std::string, Element>& from,
                 std::map<std::string, Element>& to) {
  if (exists) {
    to.insert_or_assign(key, std::move(from.at(key)));
  } else {
    to.erase(key);
  }
}

}  // namespace

/// A patch operation on one element or a part of it.
struct DocumentEditor::Operation {
  ElementKey key;
  bool sets_whole_element = false;
  json change;
};

DocumentEditor::DocumentEditor(ConfigVersionPtr base) : base_(std::move(base)) {
  Split(json::parse(base_->text));
}

DocumentEditor::DocumentEditor(ConfigVersionPtr base, const json& value)
    : base_(std::move(base)) {
  Split(value);
}

void DocumentEditor::Split(const json& document) {
  fields_.clear();
  not_an_object_.clear();
  if (!document.is_object()) {
    not_an_object_ = document.dump();
    return;
  }
  for (const auto& [name, value] : document.items()) {
    Field& field = fields_[name];
    field.is_collection = IsCollection(name) && value.is_object();
    if (!field.is_collection) {
      field.text = value.dump();
      continue;
    }
    for (const auto& [key, element] : value.items()) {
      field.elements[key] = KeyText(key) + element.dump();
    }
  }
}

bool DocumentEditor::Apply(std::string_view patch,
                           std::vector<SettingsFault>& faults) {
  try {
    if (auto operations = ElementOperations(patch)) {
      for (Operation& operation : *operations) ApplyToElement(operation);
      return true;
    }
  } catch (const json::exception& error) {
    faults.push_back(
        {"", std::string("the patch does not apply: ") + error.what()});
    return false;
  }
  const auto text = ApplyPatch(Text(), patch, faults);
  if (!text.has_value()) return false;
  Split(json::parse(*text));
  changed_as_whole_ = true;
  return true;
}

/// @return nullopt when the patch is malformed or has other operations than
/// those on elements.
std::optional<std::vector<DocumentEditor::Operation>>
DocumentEditor::ElementOperations(std::string_view patch) const {
  json changes = json::parse(patch, nullptr, false);
  if (!changes.is_array()) return std::nullopt;
  std::vector<Operation> operations;
  for (json& change : changes) {
    if (!change.is_object()) return std::nullopt;
    const std::string kind = TextField(change, "op");
    const std::vector<std::string> tokens =
        TokensOf(json::json_pointer(TextField(change, "path")));
    const bool stays_in_element = kind == "add" || kind == "replace" ||
                                  kind == "remove" || kind == "test";
    if (!stays_in_element || tokens.size() < 2 || !IsCollection(tokens[0])) {
      return std::nullopt;
    }
    const auto field = fields_.find(tokens[0]);
    if (field == fields_.end() || !field->second.is_collection) {
      return std::nullopt;
    }
    const bool sets_whole_element =
        kind == "add" && tokens.size() == 2 && change.contains("value");
    operations.push_back(
        {{tokens[0], tokens[1]}, sets_whole_element, std::move(change)});
  }
  return operations;
}

/// Throws the JSON library's exception when the operation does not apply.
void DocumentEditor::ApplyToElement(Operation& operation) {
  const auto& [field_name, key] = operation.key;
  std::map<std::string, std::string>& elements =
      fields_.at(field_name).elements;
  json value;
  if (operation.sets_whole_element) {
    value = std::move(operation.change["value"]);
  } else {
    // A document that holds nothing but the element, in which the operation has
    // the same effect.
    json document = {{field_name, json::object()}};
    const auto before = elements.find(key);
    if (before != elements.end()) document[field_name][key] = ValueOf(*before);
    document.patch_inplace(json::array({std::move(operation.change)}));
    json& collection = document.at(field_name);
    const auto after = collection.find(key);
    if (after == collection.end()) {
      changed_.insert(operation.key);
      invalid_.erase(operation.key);
      elements.erase(key);
      return;
    }
    value = std::move(*after);
  }
  changed_.insert(operation.key);
  elements[key] = KeyText(key) + value.dump();
  ReadElement(operation.key, value);
}

/// Reads an element. It may be invalid until later operations have changed it,
/// too.
void DocumentEditor::ReadElement(const ElementKey& key, const json& value) {
  const auto& [field, name] = key;
  bool valid = false;
  if (field == kServices) {
    valid = Replace(name, value, ReadService, changed_elements_.services);
  } else if (field == kClasses) {
    valid = Replace(name, value, ReadClass, changed_elements_.classes);
  } else if (field == kCustomers) {
    valid = Replace(name, value, ReadCustomer, changed_elements_.customers);
  } else {
    valid = Replace(name, value, ReadRoute, changed_elements_.routes);
  }
  if (valid) {
    invalid_.erase(key);
  } else {
    invalid_.insert(key);
  }
}

std::string DocumentEditor::Text() const {
  if (!not_an_object_.empty()) return not_an_object_;
  std::string text;
  text.reserve(base_->text.size() + kTextReserveBytes);
  text += '{';
  const auto append = [&text](const std::string& part) {
    if (text.back() != '{') text += ',';
    text += part;
  };
  for (const auto& [name, field] : fields_) {
    append(KeyText(name));
    if (!field.is_collection) {
      text += field.text;
      continue;
    }
    text += '{';
    for (const auto& [key, element] : field.elements) append(element);
    text += '}';
  }
  text += '}';
  return text;
}

ConfigVersionPtr DocumentEditor::Build(uint64_t number, uint64_t parent,
                                       std::string patch,
                                       std::vector<SettingsFault>& faults) {
  std::string text = Text();
  std::optional<ConfigDocument> document;
  if (!changed_as_whole_ && invalid_.empty()) document = DocumentWithChanges();
  ConfigVersionPtr version;
  if (document.has_value()) {
    const Digest digest = DigestOf(text);
    version = std::make_shared<const ConfigVersion>(
        ConfigVersion{number, parent, digest, std::move(text), std::move(patch),
                      std::move(*document)});
  } else {
    version = MakeConfigVersion(number, parent, std::move(text),
                                std::move(patch), faults);
  }
  if (version == nullptr) return nullptr;
  base_ = version;
  changed_.clear();
  changed_elements_ = {};
  invalid_.clear();
  changed_as_whole_ = false;
  return version;
}

/// @return the base's document with the changed elements; nullopt when they do
/// not fit together.
std::optional<ConfigDocument> DocumentEditor::DocumentWithChanges() {
  ConfigDocument document = base_->document;
  bool keys_changed = false;
  for (const auto& [field, name] : changed_) {
    const bool exists = fields_.at(field).elements.contains(name);
    if (field == kServices) {
      MoveElement(name, exists, changed_elements_.services, document.services);
    } else if (field == kClasses) {
      MoveElement(name, exists, changed_elements_.classes, document.classes);
    } else if (field == kCustomers) {
      keys_changed = true;
      MoveElement(name, exists, changed_elements_.customers,
                  document.customers);
    } else {
      MoveElement(name, exists, changed_elements_.routes, document.routes);
    }
  }
  SettingsReader references = SettingsReader::FromValue(json::object());
  CheckReferences(document, references);
  if (keys_changed) CheckKeys(document.customers, references);
  if (!references.Faults().empty()) return std::nullopt;
  return document;
}

}  // namespace hibiscusglade
