#include "consensus/internal/record_format.h"

#include <cstdint>
#include <cstring>

#include "base/digest.h"

namespace hibiscusglade {
namespace {

constexpr size_t kHeaderBytes = sizeof(uint32_t) + sizeof(uint64_t);
constexpr uint32_t kMaxRecordBytes = 64U << 20U;

}  // namespace

void AppendRecord(std::string_view bytes, std::string& out) {
  const auto length = static_cast<uint32_t>(bytes.size());
  const uint64_t digest = DigestOf(bytes, length);
  char header[kHeaderBytes];
  std::memcpy(header, &length, sizeof(length));
  std::memcpy(header + sizeof(length), &digest, sizeof(digest));
  out.append(header, sizeof(header));
  out.append(bytes);
}

std::optional<std::string_view> TakeRecord(std::string_view& in) {
  if (in.size() < kHeaderBytes) return std::nullopt;
  uint32_t length = 0;
  uint64_t digest = 0;
  std::memcpy(&length, in.data(), sizeof(length));
  std::memcpy(&digest, in.data() + sizeof(length), sizeof(digest));
  if (length == 0 || length > kMaxRecordBytes ||
      in.size() - kHeaderBytes < length) {
    return std::nullopt;
  }
  std::string_view bytes = in.substr(kHeaderBytes, length);
  if (DigestOf(bytes, length) != digest) return std::nullopt;
  in.remove_prefix(kHeaderBytes + length);
  return bytes;
}

bool ContainsLaterRecord(std::string_view in) {
  while (in.size() > 1) {
    in.remove_prefix(1);
    std::string_view rest = in;
    if (TakeRecord(rest).has_value()) return true;
  }
  return false;
}

}  // namespace hibiscusglade
