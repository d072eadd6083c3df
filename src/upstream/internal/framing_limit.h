#ifndef HIBISCUSGLADE_UPSTREAM_INTERNAL_FRAMING_LIMIT_H_
#define HIBISCUSGLADE_UPSTREAM_INTERNAL_FRAMING_LIMIT_H_

#include <cstddef>
#include <cstdint>

namespace hibiscusglade {

/// Bounds the bytes of one answer that are neither its head nor its body.
/// libcurl limits heads itself, keeps all trailer fields until the run ends,
/// and drops extensions of chunks without telling.
class FramingLimit {
 public:
  /// Part of the head, the trailer or the body was received.
  void OnProgress() { progressed_ = true; }

  /// A trailer field was received.
  /// @return whether the trailer may go on.
  bool AddTrailer(size_t bytes);

  /// The socket can be read.
  /// @return false when too many bytes in a row brought no progress.
  bool OnRead(int socket);

 private:
  size_t trailer_bytes_ = 0;
  bool progressed_ = false;  ///< Since the last read.
  uint32_t reads_without_progress_ = 0;
  size_t framing_bytes_ = 0;  ///< Of reads without progress.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_INTERNAL_FRAMING_LIMIT_H_
