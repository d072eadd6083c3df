#include "base/compression.h"

#include <zlib.h>

#include <algorithm>

namespace hibiscusglade {
namespace {

constexpr size_t kFirstGuessBytes = size_t{16} << 10U;
/// JSON documents shrink to a tenth; a larger guess only costs memory.
constexpr size_t kGuessFactor = 12;

}  // namespace

std::string Compressed(std::string_view bytes) {
  uLongf length = compressBound(bytes.size());
  std::string out(length, '\0');
  // Cannot fail: the output holds the bound and the level is valid.
  compress2(reinterpret_cast<Bytef*>(out.data()), &length,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  out.resize(length);
  out.shrink_to_fit();
  return out;
}

std::optional<std::string> Decompressed(std::string_view bytes, size_t most) {
  size_t room =
      std::min(most, std::max(kFirstGuessBytes, bytes.size() * kGuessFactor));
  while (true) {
    std::string out(room, '\0');
    uLongf length = room;
    const int result =
        uncompress(reinterpret_cast<Bytef*>(out.data()), &length,
                   reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (result == Z_OK) {
      out.resize(length);
      return out;
    }
    if (result != Z_BUF_ERROR || room >= most) return std::nullopt;
    room = std::min(most, room * 2);
  }
}

}  // namespace hibiscusglade
