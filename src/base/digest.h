#ifndef HIBISCUSGLADE_BASE_DIGEST_H_
#define HIBISCUSGLADE_BASE_DIGEST_H_

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace hibiscusglade {

/// Checksum and fingerprint of bytes (XXH64). Not cryptographic: it does not
/// protect against forgery.
using Digest = uint64_t;

inline Digest DigestOf(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

/// @param seed value mixed into the result. Pass the digest of preceding bytes
/// to chain digests.
inline Digest DigestOf(std::string_view bytes, Digest seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_DIGEST_H_
