#include "upstream/internal/framing_limit.h"

#include <sys/ioctl.h>

#include <utility>

namespace hibiscusglade {
namespace {

constexpr size_t kMaxTrailerBytes = size_t{16} << 10U;
constexpr size_t kMaxFramingBytes = size_t{64} << 10U;
/// Reads in a row without progress before their bytes are counted, which takes
/// a system call each. Parts of a head or of a chunk's size are a few reads.
constexpr uint32_t kUncountedReads = 8;

}  // namespace

bool FramingLimit::AddTrailer(size_t bytes) {
  trailer_bytes_ += bytes;
  return trailer_bytes_ <= kMaxTrailerBytes;
}

bool FramingLimit::OnRead(int socket) {
  if (std::exchange(progressed_, false)) {
    reads_without_progress_ = 0;
    framing_bytes_ = 0;
  }
  if (++reads_without_progress_ <= kUncountedReads) return true;
  int waiting = 0;
  if (ioctl(socket, FIONREAD, &waiting) == 0) {
    framing_bytes_ += static_cast<size_t>(waiting);
  }
  return framing_bytes_ <= kMaxFramingBytes;
}

}  // namespace hibiscusglade
