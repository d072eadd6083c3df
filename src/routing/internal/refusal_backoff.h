#ifndef HIBISCUSGLADE_ROUTING_INTERNAL_REFUSAL_BACKOFF_H_
#define HIBISCUSGLADE_ROUTING_INTERNAL_REFUSAL_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace hibiscusglade {

/// Backoff of one entry from one owner, per request class: an owner that keeps
/// refusing requests for lack of capacity is not chosen for a while. During
/// demand peaks most requests are refused; sending each of them to every owner
/// would cost both daemons more CPU time than the requests that run.
/// Single-threaded.
class RefusalBackoff {
 public:
  /// The owner, or its upstream, refused a request as not run.
  void OnRefused(const std::string& request_class, Instant now) {
    by_class_[request_class].last_refused_at = now;
  }

  /// The owner refused a request for lack of capacity.
  void OnCapacityRefusal(const std::string& request_class, Instant now) {
    Refusals& refusals = by_class_[request_class];
    refusals.last_refused_at = now;
    ++refusals.capacity_refusals;
  }

  /// The owner admitted a request of the class.
  void OnAdmitted(const std::string& request_class) {
    auto found = by_class_.find(request_class);
    if (found != by_class_.end()) found->second.capacity_refusals = 0;
  }

  /// @return whether the last refusal is so recent that other owners should be
  /// preferred.
  bool RefusedRecently(const std::string& request_class, Instant now) const {
    auto found = by_class_.find(request_class);
    return found != by_class_.end() &&
           now < found->second.last_refused_at + kRecentRefusalWindow;
  }

  /// @return when the owner may be chosen again; a time in the past when there
  /// is no backoff.
  Instant BackoffEnd(const std::string& request_class) const {
    auto found = by_class_.find(request_class);
    if (found == by_class_.end()) return {};
    const Refusals& refusals = found->second;
    if (refusals.capacity_refusals < kRefusalsBeforeBackoff) return {};
    const uint32_t doublings =
        refusals.capacity_refusals - kRefusalsBeforeBackoff;
    const Duration backoff = doublings >= kMaxDoublings
                                 ? kMaxBackoff
                                 : kInitialBackoff * (1 << doublings);
    return refusals.last_refused_at + std::min(backoff, kMaxBackoff);
  }

 private:
  static constexpr Duration kRecentRefusalWindow =
      std::chrono::milliseconds(250);
  /// A single refusal may be transient: a full owner has capacity again when
  /// its next run ends.
  static constexpr uint32_t kRefusalsBeforeBackoff = 2;
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(5);
  /// With about 14 entries an owner still receives 350 attempts per second,
  /// which is more often than the users' upstreams free a slot.
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(40);
  static constexpr uint32_t kMaxDoublings = 3;

  struct Refusals {
    Instant last_refused_at;
    uint32_t capacity_refusals = 0;  ///< Since the last admitted request.
  };

  std::map<std::string, Refusals> by_class_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_INTERNAL_REFUSAL_BACKOFF_H_
