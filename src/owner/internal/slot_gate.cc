#include "owner/internal/slot_gate.h"

namespace hibiscusglade {

void SlotGate::Add(SlotRequestId id, bool suspect) {
  admitted_.push_back({id, suspect});
}

void SlotGate::Remove(SlotRequestId id) {
  std::erase_if(admitted_,
                [id](const AdmittedRun& run) { return run.id == id; });
  running_.erase(id);
  // A suspect runs alone, so it has ended if it was the running one.
  if (running_.empty()) suspect_running_ = false;
}

std::vector<SlotRequestId> SlotGate::TakeReady() {
  std::vector<SlotRequestId> ready;
  while (!admitted_.empty() && !suspect_running_) {
    const AdmittedRun next = admitted_.front();
    if (next.suspect && !running_.empty()) break;
    admitted_.pop_front();
    running_.insert(next.id);
    suspect_running_ = next.suspect;
    ready.push_back(next.id);
  }
  return ready;
}

}  // namespace hibiscusglade
