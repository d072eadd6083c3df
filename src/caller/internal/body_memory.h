#ifndef HIBISCUSGLADE_CALLER_INTERNAL_BODY_MEMORY_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_BODY_MEMORY_H_

#include <cstddef>

namespace hibiscusglade {

/// Counts the bytes of bodies that all callers' connections hold: of requests,
/// from the first byte to the end of the answer, or of answers that are held
/// back. Answers the load of callers that upload slowly, or stop midway, on
/// many connections: each may send a body of the largest size that is allowed,
/// but not all at once.
class BodyMemory {
 public:
  explicit BodyMemory(size_t max_bytes) : max_bytes_(max_bytes) {}

  /// A connection holds another number of bytes than before.
  void OnChange(size_t before, size_t after) { bytes_ += after - before; }

  /// @param own bytes that the asking connection holds.
  /// @return whether it must hold no more. One body may have any size.
  bool IsFullFor(size_t own) const {
    return bytes_ > max_bytes_ && own < bytes_;
  }

  size_t Bytes() const { return bytes_; }

 private:
  size_t max_bytes_;
  size_t bytes_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_BODY_MEMORY_H_
