#include "owner/internal/slot_gate.h"

namespace hibiscusglade {

void SlotGate::Add(Ticket ticket, bool suspect) {
  held_.push_back({ticket, suspect});
}

void SlotGate::Remove(Ticket ticket) {
  std::erase_if(held_,
                [ticket](const Held& held) { return held.ticket == ticket; });
  running_.erase(ticket);
  // A suspect runs alone, so that with an empty set none runs.
  if (running_.empty()) suspect_runs_ = false;
}

std::vector<Ticket> SlotGate::TakeReady() {
  std::vector<Ticket> ready;
  while (!held_.empty() && !suspect_runs_) {
    const Held next = held_.front();
    if (next.suspect && !running_.empty()) break;
    held_.pop_front();
    running_.insert(next.ticket);
    suspect_runs_ = next.suspect;
    ready.push_back(next.ticket);
  }
  return ready;
}

}  // namespace hibiscusglade
