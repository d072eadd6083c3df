#ifndef HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_

#include <deque>
#include <set>
#include <vector>

#include "admission/admission.h"

namespace hibiscusglade {

/// Starts admitted runs in order. A suspect starts only when nothing is
/// running, and nothing else starts while it runs.
class SlotGate {
 public:
  /// Adds a run that has been given a slot.
  void Add(SlotRequestId id, bool suspect);

  /// Removes a run that has ended, or that was cancelled before it started.
  void Remove(SlotRequestId id);

  /// @return runs to start now, in order; they count as running from now on.
  std::vector<SlotRequestId> TakeReady();

  const std::set<SlotRequestId>& Running() const { return running_; }

 private:
  struct AdmittedRun {
    SlotRequestId id = 0;
    bool suspect = false;
  };

  std::deque<AdmittedRun> admitted_;
  std::set<SlotRequestId> running_;
  bool suspect_running_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_
