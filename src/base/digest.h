#ifndef HIBISCUSGLADE_BASE_DIGEST_H_
#define HIBISCUSGLADE_BASE_DIGEST_H_

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace hibiscusglade {

/// Checksum and fingerprint of bytes; not a defence against forgery.
using Digest = uint64_t;

inline Digest DigestOf(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

/// Continues a digest over further bytes.
inline Digest DigestOf(std::string_view bytes, Digest before) {
  return XXH64(bytes.data(), bytes.size(), before);
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_DIGEST_H_
