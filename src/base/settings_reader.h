#ifndef HIBISCUSGLADE_BASE_SETTINGS_READER_H_
#define HIBISCUSGLADE_BASE_SETTINGS_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusglade {

/// One fault found in a settings file or a configuration document.
struct SettingsFault {
  std::string pointer;  ///< JSON pointer to the faulty value.
  std::string message;  ///< What was expected and what was found.

  friend bool operator==(const SettingsFault&, const SettingsFault&) = default;
};

/// Description of one setting, for docs/SETTINGS.md.
struct SettingDoc {
  std::string pointer;
  std::string type;
  std::string unit;
  std::string range;
  std::string default_value;
  std::string text;
};

/// Bounds, default, unit and description of a field with a number.
struct NumberSpec {
  int64_t lowest = 0;
  int64_t highest = 0;
  int64_t default_value = 0;
  std::string_view unit;
  std::string_view text;
  bool required = false;
};

/// Default, description and allowed values of a string field.
struct TextSpec {
  std::string_view default_value;
  std::string_view text;
  bool required = false;
  std::vector<std::string_view> allowed = {};  ///< Empty allows any string.
  bool secret = false;  ///< Faults don't quote what was found.
};

/// Reads one JSON object field by field. Collects the faults of all fields
/// instead of stopping at the first one, and reports unknown fields as faults.
/// The same calls describe the fields for docs/SETTINGS.md, see
/// ForDescription().
class SettingsReader {
 public:
  /// State that all readers of the objects of one file share.
  struct Shared;

  /// Parses a file's text; comments are allowed.
  explicit SettingsReader(std::string_view text);

  /// @return a reader of a parsed value, which must outlive the reader.
  static SettingsReader FromValue(const nlohmann::json& value);

  /// @return a reader without a file: it records a description of each field
  /// that is read and returns the defaults.
  static SettingsReader ForDescription();

  ~SettingsReader();
  SettingsReader(SettingsReader&&) noexcept;
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// Number(), Decimal(), Text() and Flag() read a field; Decimal() accepts
  /// fractions.
  /// @return its value, or the default when it is absent or invalid; an invalid
  /// or a missing required field is recorded as a fault.
  int64_t Number(std::string_view name, const NumberSpec& spec);
  double Decimal(std::string_view name, const NumberSpec& spec);
  std::string Text(std::string_view name, const TextSpec& spec);
  bool Flag(std::string_view name, bool default_value, std::string_view text);

  /// Reads a numeric IPv4 address; a host name is a fault.
  std::string IpAddress(std::string_view name, const TextSpec& spec);

  /// @return the field as JSON text; empty when it is absent.
  std::string Json(std::string_view name, std::string_view text);

  /// @return a reader of the object in a field; when the field is absent, a
  /// reader of an empty object.
  SettingsReader Object(std::string_view name, std::string_view text);

  /// @return whether the field is present. Always true while describing.
  bool Has(std::string_view name) const;

  /// Calls `read` with a reader for each object of an array.
  void Array(std::string_view name, std::string_view text,
             const std::function<void(SettingsReader&)>& read);

  /// Calls `read` with the name and a reader of each field of an object whose
  /// fields are objects.
  void Map(
      std::string_view name, std::string_view text,
      const std::function<void(const std::string&, SettingsReader&)>& read);

  /// Reads an array of strings.
  std::vector<std::string> Texts(std::string_view name, const TextSpec& spec);

  /// Records a fault at a field of this object; an empty name means the
  /// object itself.
  void Fault(std::string_view name, const std::string& message);

  /// Records a fault at a JSON pointer into the file.
  void FaultAt(const std::string& pointer, const std::string& message);

  /// Records a fault for each field that no method has read. Readers of nested
  /// objects call it in their destructor; call it on the root reader before
  /// Faults().
  void Finish();

  /// @return all faults of the file so far, in the order of their detection.
  const std::vector<SettingsFault>& Faults() const;

  /// @return all descriptions so far; empty unless made by ForDescription().
  const std::vector<SettingDoc>& Docs() const;

 private:
  SettingsReader(std::shared_ptr<Shared> shared, std::string pointer,
                 const nlohmann::json* object);

  const nlohmann::json* Find(std::string_view name) const;

  /// Adds a field to the known ones, which Finish() accepts.
  /// @return whether the caller must describe the field.
  bool MarkKnown(std::string_view name);

  std::string PointerOf(std::string_view name) const;
  void Describe(std::string_view name, const SettingDoc& doc);

  std::shared_ptr<Shared> shared_;
  std::string pointer_;
  const nlohmann::json* object_ = nullptr;  ///< Null when the object is absent.
  std::vector<std::string_view> known_fields_;  ///< Views of literals.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_SETTINGS_READER_H_
