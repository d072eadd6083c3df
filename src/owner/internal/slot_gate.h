#ifndef HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_

#include <deque>
#include <functional>
#include <set>
#include <vector>

#include "admission/admission.h"

namespace hibiscusglade {

/// Starts admitted runs in order. A suspect starts only when nothing is
/// running, and nothing else starts while it runs. Whether a run is one is
/// asked when its turn comes.
class SlotGate {
 public:
  /// Adds a run that has been given a slot.
  void Add(SlotRequestId id) { admitted_.push_back(id); }

  /// Removes a run that has ended, or that was cancelled before it started.
  void Remove(SlotRequestId id);

  /// Starts nothing while `hold` is set.
  void Hold(bool hold) { held_ = hold; }

  /// @param is_suspect whether a run must run alone.
  /// @return runs to start now, in order; they count as running from now on.
  std::vector<SlotRequestId> TakeReady(
      const std::function<bool(SlotRequestId)>& is_suspect);

  const std::set<SlotRequestId>& Running() const { return running_; }

 private:
  std::deque<SlotRequestId> admitted_;
  std::set<SlotRequestId> running_;
  bool suspect_running_ = false;
  bool held_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_
