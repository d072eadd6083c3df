#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_RECORD_FORMAT_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_RECORD_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusglade {

/// Appends one record to `out`: length, checksum, bytes.
void AppendRecord(std::string_view bytes, std::string& out);

/// Reads the record at the start of `in` and removes it from `in`.
/// @return its bytes; nullopt, with `in` unchanged, if `in` doesn't start with
/// a complete record whose checksum matches.
std::optional<std::string_view> TakeRecord(std::string_view& in);

/// @return whether a complete record starts anywhere after the first byte.
bool ContainsLaterRecord(std::string_view in);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_RECORD_FORMAT_H_
