#include "base/compression.h"

#include <zlib.h>

#include <algorithm>

namespace hibiscusglade {
namespace {

constexpr size_t kMinBufferBytes = size_t{16} << 10U;
/// Size of the first buffer relative to the compressed bytes. JSON documents
/// shrink to a tenth; a buffer that is too large only costs memory.
constexpr size_t kBufferFactor = 12;

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf length = compressBound(bytes.size());
  std::string out(length, '\0');
  // Can't fail: the output has the size of compressBound() and the level is
  // valid.
  compress2(reinterpret_cast<Bytef*>(out.data()), &length,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  out.resize(length);
  out.shrink_to_fit();
  return out;
}

std::optional<std::string> Decompress(std::string_view bytes,
                                      size_t max_bytes) {
  size_t buffer_bytes = std::min(
      max_bytes, std::max(kMinBufferBytes, bytes.size() * kBufferFactor));
  while (true) {
    std::string out(buffer_bytes, '\0');
    uLongf length = buffer_bytes;
    const int result =
        uncompress(reinterpret_cast<Bytef*>(out.data()), &length,
                   reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (result == Z_OK) {
      out.resize(length);
      return out;
    }
    if (result != Z_BUF_ERROR || buffer_bytes >= max_bytes) return std::nullopt;
    buffer_bytes = std::min(max_bytes, buffer_bytes * 2);
  }
}

}  // namespace hibiscusglade
