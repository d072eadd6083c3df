#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_READINESS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_READINESS_H_

#include <atomic>

namespace hibiscusglade {

/// Whether a daemon may be given requests. Any thread may call it.
class Readiness {
 public:
  void OnVersionInUse() { version_in_use_ = true; }

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
