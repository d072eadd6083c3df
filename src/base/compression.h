#ifndef HIBISCUSGLADE_BASE_COMPRESSION_H_
#define HIBISCUSGLADE_BASE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusglade {

/// @return the bytes compressed (zlib).
std::string Compressed(std::string_view bytes);

/// @param most largest result that is taken.
/// @return what was compressed; nullopt when the bytes are damaged or the
/// result is larger.
std::optional<std::string> Decompressed(std::string_view bytes, size_t most);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_COMPRESSION_H_
