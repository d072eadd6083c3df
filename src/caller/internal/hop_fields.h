#ifndef HIBISCUSGLADE_CALLER_INTERNAL_HOP_FIELDS_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_HOP_FIELDS_H_

#include <algorithm>
#include <array>
#include <string_view>

#include "calls/field_values.h"

namespace hibiscusglade {

/// @return whether a header field is hop-by-hop: it concerns a single
/// connection and is not forwarded.
inline bool IsHopByHopField(std::string_view name) {
  constexpr std::array<std::string_view, 9> kHopByHopFields = {
      "Connection",          "Keep-Alive", "Proxy-Authenticate",
      "Proxy-Authorization", "TE",         "Trailer",
      "Transfer-Encoding",   "Upgrade",    "Proxy-Connection"};
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [name](std::string_view field) { return EqualFieldNames(name, field); });
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_HOP_FIELDS_H_
