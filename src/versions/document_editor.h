#ifndef HIBISCUSGLADE_VERSIONS_DOCUMENT_EDITOR_H_
#define HIBISCUSGLADE_VERSIONS_DOCUMENT_EDITOR_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Applies patches to a version. The document is kept as the texts of its
/// elements (one service, class or route each), and only elements that a patch
/// names are parsed, so that a small change to a large document is cheap.
class DocumentEditor {
 public:
  explicit DocumentEditor(ConfigVersionPtr base);

  /// @param value the text of the version, parsed.
  DocumentEditor(ConfigVersionPtr base, const nlohmann::json& value);

  /// @return the version that the editor was created from or built last.
  const ConfigVersionPtr& Base() const { return base_; }

  /// Applies an RFC 6902 patch.
  /// @param faults receives the reasons why the patch does not apply; the
  /// editor must not be used any more then.
  /// @return whether the patch applies.
  bool Apply(std::string_view patch, std::vector<SettingsFault>& faults);

  /// @return the canonical text of the document.
  std::string Text() const;

  /// Checks the document and builds a version of it.
  /// @param patch from the parent; may be empty.
  /// @return the version, which becomes the base; nullptr, with `faults`
  /// filled, when the document is not valid.
  ConfigVersionPtr Build(uint64_t number, uint64_t parent, std::string patch,
                         std::vector<SettingsFault>& faults);

 private:
  /// Key of a field of the document, and key of an element in it.
  using ElementKey = std::pair<std::string, std::string>;

  struct Operation;

  /// A field of the document: a collection of elements, or any other value.
  struct Field {
    bool is_collection = false;
    std::map<std::string, std::string> elements;  ///< Texts by key.
    std::string text;                             ///< When it is no collection.
  };

  void Split(const nlohmann::json& document);
  std::optional<std::vector<Operation>> ElementOperations(
      std::string_view patch) const;
  void ApplyToElement(Operation& operation);
  void ReadElement(const ElementKey& key, const nlohmann::json& value);
  std::optional<ConfigDocument> DocumentWithChanges();

  ConfigVersionPtr base_;
  std::map<std::string, Field> fields_;
  std::string not_an_object_;  ///< Text of a document without fields.
  std::set<ElementKey> changed_;
  ConfigDocument changed_elements_;  ///< Those of `changed_` that are valid.
  std::set<ElementKey> invalid_;     ///< Those of `changed_` that are not.
  /// Whether the whole document must be read again to build a version.
  bool changed_as_whole_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_DOCUMENT_EDITOR_H_
