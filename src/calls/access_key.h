#ifndef HIBISCUSGLADE_CALLS_ACCESS_KEY_H_
#define HIBISCUSGLADE_CALLS_ACCESS_KEY_H_

#include <string_view>

#include "calls/field_values.h"

namespace hibiscusglade {

/// @param value of an Authorization field.
/// @return the key of the scheme Bearer (RFC 6750, section 2.1); empty when
/// the value has another scheme or form.
inline std::string_view BearerKeyOf(std::string_view value) {
  constexpr std::string_view kScheme = "Bearer";
  constexpr std::string_view kSpaces = " \t";
  if (!EqualFieldNames(value.substr(0, kScheme.size()), kScheme)) return {};
  value.remove_prefix(kScheme.size());
  const size_t begin = value.find_first_not_of(kSpaces);
  if (begin == 0 || begin == std::string_view::npos) return {};
  value = value.substr(begin, value.find_last_not_of(kSpaces) + 1 - begin);
  const bool is_one_word = value.find_first_of(kSpaces) == value.npos;
  return is_one_word ? value : std::string_view();
}

/// Reads the field with which a caller presents a customer's key. Of several
/// such fields none counts: daemons and upstreams could choose different ones.
/// @return false when the field is another one.
inline bool ReadAccessKey(const HeaderField& field, CallRequest& request) {
  if (!EqualFieldNames(field.name, "Authorization")) return false;
  request.key_fields.push_back(field);
  request.access_key =
      request.key_fields.size() == 1 ? BearerKeyOf(field.value) : "";
  return true;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_ACCESS_KEY_H_
