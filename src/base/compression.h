#ifndef HIBISCUSGLADE_BASE_COMPRESSION_H_
#define HIBISCUSGLADE_BASE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusglade {

/// @return the bytes in compressed form (zlib).
std::string Compress(std::string_view bytes);

/// @param max_bytes maximum size of the result.
/// @return the original bytes; nullopt when `bytes` is damaged or the result
/// would exceed `max_bytes`.
std::optional<std::string> Decompress(std::string_view bytes, size_t max_bytes);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_COMPRESSION_H_
