#include "owner/internal/slot_gate.h"

namespace hibiscusglade {

void SlotGate::Add(SlotRequestId id, bool suspect) {
  held_.push_back({id, suspect});
}

void SlotGate::Remove(SlotRequestId id) {
  std::erase_if(held_, [id](const Held& held) { return held.id == id; });
  running_.erase(id);
  // A suspect runs alone, so that with an empty set none runs.
  if (running_.empty()) suspect_runs_ = false;
}

std::vector<SlotRequestId> SlotGate::TakeReady() {
  std::vector<SlotRequestId> ready;
  while (!held_.empty() && !suspect_runs_) {
    const Held next = held_.front();
    if (next.suspect && !running_.empty()) break;
    held_.pop_front();
    running_.insert(next.id);
    suspect_runs_ = next.suspect;
    ready.push_back(next.id);
  }
  return ready;
}

}  // namespace hibiscusglade
