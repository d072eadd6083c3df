#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_RECORD_FORMAT_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_RECORD_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusglade {

/// Adds one record: length, checksum, bytes.
void AppendRecord(std::string_view bytes, std::string& out);

/// Takes the record at the start of `in`.
/// @return its bytes, with `in` moved behind it; nullopt, with `in` unchanged,
/// when no whole record with a right checksum stands there.
std::optional<std::string_view> TakeRecord(std::string_view& in);

/// @return whether a whole record stands anywhere behind the first byte.
bool HoldsLaterRecord(std::string_view in);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_RECORD_FORMAT_H_
