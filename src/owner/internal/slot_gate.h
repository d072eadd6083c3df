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
  void Add(Ticket ticket, bool suspect);

  /// A run has ended, or one that waits here is no longer wanted.
  void Remove(Ticket ticket);

  /// @return runs to begin now, in order; they count as running.
  std::vector<Ticket> TakeReady();

  const std::set<Ticket>& Running() const { return running_; }

 private:
  struct Held {
    Ticket ticket = 0;
    bool suspect = false;
  };

  std::deque<Held> held_;
  std::set<Ticket> running_;
  bool suspect_runs_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_SLOT_GATE_H_
