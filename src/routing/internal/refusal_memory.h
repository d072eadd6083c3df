#ifndef HIBISCUSGLADE_ROUTING_INTERNAL_REFUSAL_MEMORY_H_
#define HIBISCUSGLADE_ROUTING_INTERNAL_REFUSAL_MEMORY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace hibiscusglade {

/// Remembers, for one owner, which classes it refused, and decides how long it
/// is not asked again. At the crest of a demand swing most requests are
/// refused; asking each owner anew for each of them costs more processor time
/// at both ends than the requests that run. Single-threaded.
class RefusalMemory {
 public:
  /// The owner, or its upstream, refused a request as not run.
  void OnRefused(const std::string& request_class, Instant now) {
    by_class_[request_class].last = now;
  }

  /// The owner refused a request for want of room.
  void OnFull(const std::string& request_class, Instant now) {
    Refusals& refusals = by_class_[request_class];
    refusals.last = now;
    ++refusals.full_in_a_row;
  }

  /// The owner took a request of the class.
  void OnTaken(const std::string& request_class) {
    auto found = by_class_.find(request_class);
    if (found != by_class_.end()) found->second.full_in_a_row = 0;
  }

  /// @return whether the last refusal was so lately that other owners are
  /// better asked first.
  bool RefusedLately(const std::string& request_class, Instant now) const {
    auto found = by_class_.find(request_class);
    return found != by_class_.end() && now < found->second.last + kLately;
  }

  /// @return when the owner may be asked again; not after `now` if at once.
  Instant AskAgainAt(const std::string& request_class) const {
    auto found = by_class_.find(request_class);
    if (found == by_class_.end()) return {};
    const Refusals& refusals = found->second;
    if (refusals.full_in_a_row < kFullBeforePause) return {};
    const uint32_t steps = refusals.full_in_a_row - kFullBeforePause;
    const Duration pause =
        steps >= kMaxDoublings ? kLongestPause : kFirstPause * (1 << steps);
    return refusals.last + std::min(pause, kLongestPause);
  }

 private:
  static constexpr Duration kLately = std::chrono::milliseconds(250);
  /// One refusal may be chance: a full owner has room again when its next run
  /// ends.
  static constexpr uint32_t kFullBeforePause = 2;
  static constexpr Duration kFirstPause = std::chrono::milliseconds(5);
  /// With some 14 entries an owner is still asked 350 times a second, more
  /// often than the slots of the users' upstreams come free.
  static constexpr Duration kLongestPause = std::chrono::milliseconds(40);
  static constexpr uint32_t kMaxDoublings = 3;

  struct Refusals {
    Instant last;
    uint32_t full_in_a_row = 0;
  };

  std::map<std::string, Refusals> by_class_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_INTERNAL_REFUSAL_MEMORY_H_
