#ifndef HIBISCUSGLADE_BASE_KEY_DIGEST_H_
#define HIBISCUSGLADE_BASE_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusglade {

/// The first 16 bytes of the SHA-256 (FIPS 180-4) of a customer's key, by which
/// the key is recognised. A key can't be found from it unless it can be
/// guessed.
class KeyDigest {
 public:
  static constexpr size_t kBytes = 16;

  KeyDigest() = default;

  /// @return the digest of a key.
  static KeyDigest Of(std::string_view key);

  /// @param hex as returned by Hex().
  /// @return nullopt unless it is 32 lower-case hexadecimal digits.
  static std::optional<KeyDigest> FromHex(std::string_view hex);

  std::string Hex() const;

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;

 private:
  std::array<uint8_t, kBytes> bytes_{};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_KEY_DIGEST_H_
