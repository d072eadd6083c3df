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
  std::string pointer;  ///< JSON pointer of the faulty place.
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

/// Bounds, unit and meaning of a number.
struct NumberSpec {
  int64_t lowest = 0;
  int64_t highest = 0;
  int64_t default_value = 0;
  std::string_view unit;
  std::string_view text;
  bool required = false;
};

/// Meaning of a text.
struct TextSpec {
  std::string_view default_value;
  std::string_view text;
  bool required = false;
  std::vector<std::string_view> allowed = {};  ///< Empty allows any text.
};

/// Reads one JSON object field by field, collects every fault at once and
/// refuses unknown fields. The same code describes the fields for the docs.
class SettingsReader {
 public:
  /// State of one file that all readers of its objects share.
  struct Shared;

  /// Parses a file's text; comments are allowed.
  explicit SettingsReader(std::string_view text);

  /// @return a reader of a value that was parsed before; the value must
  /// outlive it.
  static SettingsReader OfValue(const nlohmann::json& value);

  /// @return a reader that finds nothing and records descriptions instead.
  static SettingsReader Describing();

  ~SettingsReader();
  SettingsReader(SettingsReader&&) noexcept;
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// @return the field, or its default with a fault recorded when it is bad.
  int64_t Number(std::string_view name, const NumberSpec& spec);
  std::string Text(std::string_view name, const TextSpec& spec);
  bool Flag(std::string_view name, bool default_value, std::string_view text);

  /// Reads an IP address in figures; host names are refused.
  std::string IpAddress(std::string_view name, const TextSpec& spec);

  /// @return the field as JSON text; empty when it is absent.
  std::string Json(std::string_view name, std::string_view text);

  /// @return a reader of the object in a field; one of an empty object when
  /// the field is absent.
  SettingsReader Object(std::string_view name, std::string_view text);

  /// @return whether the field is present. Always true while describing.
  bool Has(std::string_view name) const;

  /// Calls `read` with a reader for each object of an array.
  void Array(std::string_view name, std::string_view text,
             const std::function<void(SettingsReader&)>& read);

  /// Calls `read` with the name and a reader of each object in an object.
  void Map(
      std::string_view name, std::string_view text,
      const std::function<void(const std::string&, SettingsReader&)>& read);

  /// Reads an array of texts.
  std::vector<std::string> Texts(std::string_view name, const TextSpec& spec);

  /// Records a fault at a field of this object; an empty name means the
  /// object itself.
  void Fault(std::string_view name, const std::string& message);

  /// Records a fault at a pointer of the file.
  void FaultAt(const std::string& pointer, const std::string& message);

  /// Records a fault for each field that was never asked for. Called by the
  /// destructor of object readers; call it on the root before Faults().
  void Finish();

  /// @return all faults of the file so far, in the order found.
  const std::vector<SettingsFault>& Faults() const;

  /// @return all descriptions so far.
  const std::vector<SettingDoc>& Docs() const;

 private:
  SettingsReader(std::shared_ptr<Shared> shared, std::string pointer,
                 const nlohmann::json* object);

  const nlohmann::json* Find(std::string_view name) const;

  /// Notes a field as known.
  /// @return whether it is to be described.
  bool Asked(std::string_view name);

  std::string PointerOf(std::string_view name) const;
  void Describe(std::string_view name, const SettingDoc& doc);

  std::shared_ptr<Shared> shared_;
  std::string pointer_;
  const nlohmann::json* object_ = nullptr;  ///< Null when it is absent.
  std::vector<std::string_view> asked_;     ///< Names are literals.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_SETTINGS_READER_H_
