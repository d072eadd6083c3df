#ifndef HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_

#include <deque>
#include <set>
#include <vector>

#include "admission/admission.h"

namespace hibiscusglade {

/// Lets runs with a slot begin in order, a suspect only while nothing else
/// runs, and nothing beside a suspect.
class SlotGate {
 public:
  /// Takes a run that has got its slot.
  void Add(SlotRequestId id, bool suspect);

  /// A run has ended, or one that waits here is no longer wanted.
  void Remove(SlotRequestId id);

  /// @return runs to begin now, in order; they count as running.
  std::vector<SlotRequestId> TakeReady();

  const std::set<SlotRequestId>& Running() const { return running_; }

 private:
  struct Held {
    SlotRequestId id = 0;
    bool suspect = false;
  };

  std::deque<Held> held_;
  std::set<SlotRequestId> running_;
  bool suspect_runs_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_
