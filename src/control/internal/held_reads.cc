#include "control/internal/held_reads.h"

#include <utility>

namespace hibiscusglade {

bool HeldReads::Hold(const GroupRequest& request, bool leader_known,
                     Instant now, ReplicaCallback& done) {
  leader_seen_ |= leader_known;
  if (!first_at_) first_at_ = now;
  if (!request.read || leader_seen_ || now - *first_at_ > kStart ||
      held_.size() >= kMostHeld) {
    return false;
  }
  held_.push_back({request, now + kLongestHold, std::move(done)});
  return true;
}

std::vector<HeldReads::Held> HeldReads::TakeDue(bool leader_known,
                                                Instant now) {
  leader_seen_ |= leader_known;
  if (leader_seen_) return std::exchange(held_, {});
  std::vector<Held> due;
  std::vector<Held> kept;
  for (Held& held : held_) {
    (now >= held.until ? due : kept).push_back(std::move(held));
  }
  held_ = std::move(kept);
  return due;
}

}  // namespace hibiscusglade
