#include "owner/internal/slot_gate.h"

namespace hibiscusglade {

void SlotGate::Remove(SlotRequestId id) {
  std::erase(admitted_, id);
  running_.erase(id);
  // A suspect runs alone, so it has ended if it was the running one.
  if (running_.empty()) suspect_running_ = false;
}

std::vector<SlotRequestId> SlotGate::TakeReady(
    const std::function<bool(SlotRequestId)>& is_suspect) {
  std::vector<SlotRequestId> ready;
  while (!held_ && !admitted_.empty() && !suspect_running_) {
    const SlotRequestId next = admitted_.front();
    const bool suspect = is_suspect(next);
    if (suspect && !running_.empty()) break;
    admitted_.pop_front();
    running_.insert(next);
    suspect_running_ = suspect;
    ready.push_back(next);
  }
  return ready;
}

}  // namespace hibiscusglade
