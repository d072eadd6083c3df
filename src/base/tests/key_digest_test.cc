#include "base/key_digest.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

// Source of the value: FIPS 180-4, example of "abc".
TEST(AKeyDigest, IsTheFirstHalfOfTheSha256) {
  EXPECT_EQ(KeyDigest::Of("abc").Hex(), "ba7816bf8f01cfea414140de5dae2223");
}

TEST(AKeyDigest, IsReadBackFromItsText) {
  const KeyDigest digest = KeyDigest::Of("a key");
  EXPECT_EQ(KeyDigest::FromHex(digest.Hex()), digest);
}

TEST(AKeyDigest, IsNotReadFromAnythingElse) {
  const std::string hex = KeyDigest::Of("a key").Hex();
  EXPECT_EQ(KeyDigest::FromHex(""), std::nullopt);
  EXPECT_EQ(KeyDigest::FromHex(hex.substr(1)), std::nullopt);
  EXPECT_EQ(KeyDigest::FromHex(hex + "0"), std::nullopt);
  EXPECT_EQ(KeyDigest::FromHex("g" + hex.substr(1)), std::nullopt);
  EXPECT_EQ(KeyDigest::FromHex("A" + hex.substr(1)), std::nullopt);
}

}  // namespace
}  // namespace hibiscusglade
