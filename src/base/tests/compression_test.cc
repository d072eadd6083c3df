#include "base/compression.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

constexpr size_t kMaxBytes = 1 << 20;

TEST(CompressedBytes, AreRestoredUnchanged) {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string(300'000, 'x'),
        std::string("\0\xff\0", 3)}) {
    EXPECT_EQ(Decompress(Compress(bytes), kMaxBytes), bytes);
  }
}

TEST(CompressedBytes, AreSmallerThanAJsonDocument) {
  std::string document;
  for (int i = 0; i < 1000; ++i) {
    document += "{\"path_prefix\":\"/p" + std::to_string(i) + "/\"},";
  }
  EXPECT_LT(Compress(document).size() * 4, document.size());
}

TEST(CompressedBytes, AreRefusedWhenDamagedOrTooLarge) {
  std::string bytes = Compress(std::string(5000, 'y'));
  EXPECT_EQ(Decompress(bytes, 4999), std::nullopt);
  EXPECT_EQ(Decompress(bytes.substr(0, bytes.size() / 2), kMaxBytes),
            std::nullopt);
  EXPECT_EQ(Decompress("no zlib", kMaxBytes), std::nullopt);
}

}  // namespace
}  // namespace hibiscusglade
