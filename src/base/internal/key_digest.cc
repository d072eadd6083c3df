#include "base/key_digest.h"

#include <nettle/sha2.h>

#include <algorithm>

namespace hibiscusglade {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  sha256_ctx context;
  sha256_init(&context);
  sha256_update(&context, key.size(),
                reinterpret_cast<const uint8_t*>(key.data()));
  KeyDigest digest;
  sha256_digest(&context, digest.bytes_.size(), digest.bytes_.data());
  return digest;
}

std::optional<KeyDigest> KeyDigest::FromHex(std::string_view hex) {
  if (hex.size() != 2 * kBytes) return std::nullopt;
  KeyDigest digest;
  for (size_t i = 0; i < kBytes; ++i) {
    const size_t high = kHexDigits.find(hex[2 * i]);
    const size_t low = kHexDigits.find(hex[2 * i + 1]);
    if (std::max(high, low) >= kHexDigits.size()) return std::nullopt;
    digest.bytes_[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return digest;
}

std::string KeyDigest::Hex() const {
  std::string hex;
  hex.reserve(2 * kBytes);
  for (uint8_t byte : bytes_) {
    hex += kHexDigits[byte / 16];
    hex += kHexDigits[byte % 16];
  }
  return hex;
}

}  // namespace hibiscusglade
