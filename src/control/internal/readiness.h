#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_READINESS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_READINESS_H_

#include <atomic>
#include <cstdint>

namespace hibiscusglade {

/// Whether a daemon may be given requests. Any thread may call it.
class Readiness {
 public:
  /// @param number of the version in use. Number 0 is that of a mesh that has
  /// accepted no configuration yet, by which no request can be judged.
  void OnVersionInUse(uint64_t number) {
    if (number > 0) version_in_use_ = true;
  }

  /// Can't be undone: versions that are put in use later change nothing.
  void BeginStop() { stopping_ = true; }

  bool Stopping() const { return stopping_; }
  bool Ready() const { return version_in_use_ && !stopping_; }

 private:
  std::atomic<bool> version_in_use_{false};
  std::atomic<bool> stopping_{false};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_READINESS_H_
