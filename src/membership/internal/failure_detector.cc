#include "membership/internal/failure_detector.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {

void FailureDetector::Probe(const ProbeTarget& target,
                            std::vector<ProbeTarget> helpers, Instant now,
                            MembershipEffects& effects) {
  const uint64_t sequence = ++last_sequence_;
  Open& open = open_[sequence];
  open.target = target;
  open.helpers = std::move(helpers);
  open.deadline = now + config_.probe_timeout;
  effects.send.push_back({target.address, ProbeMessage{sequence}});
}

void FailureDetector::OnTick(Instant now, MembershipEffects& effects) {
  for (auto item = open_.begin(); item != open_.end();) {
    Open& open = item->second;
    if (now < open.deadline) {
      ++item;
      continue;
    }
    if (open.asker_address.empty() && !open.indirect) {
      open.indirect = true;
      open.deadline = now + 2 * config_.probe_timeout;
      AskHelpers(item->first, open, effects);
      ++item;
      continue;
    }
    if (open.asker_address.empty()) silent_.push_back(open.target.instance);
    item = open_.erase(item);
  }
}

void FailureDetector::OnIndirectProbe(const IndirectProbeMessage& message,
                                      Instant now, MembershipEffects& effects) {
  Probe({message.target_instance, message.target_address}, {}, now, effects);
  Open& open = open_[last_sequence_];
  open.asker_address = message.asker_address;
  open.asker_sequence = message.sequence;
}

void FailureDetector::OnAck(const ProbeAckMessage& ack,
                            MembershipEffects& effects) {
  auto found = open_.find(ack.sequence);
  if (found == open_.end() || found->second.target.instance != ack.instance) {
    return;
  }
  const Open& open = found->second;
  if (!open.asker_address.empty()) {
    effects.send.push_back(
        {open.asker_address,
         ProbeAckMessage{open.asker_sequence, ack.instance}});
  }
  open_.erase(found);
}

std::vector<std::string> FailureDetector::TakeSilent() {
  return std::exchange(silent_, {});
}

void FailureDetector::AskHelpers(uint64_t sequence, Open& open,
                                 MembershipEffects& effects) {
  std::vector<ProbeTarget>& helpers = open.helpers;
  for (size_t i = 0; i < kHelpers && !helpers.empty(); ++i) {
    const auto chosen =
        helpers.begin() + static_cast<ptrdiff_t>(random_.Below(helpers.size()));
    effects.send.push_back(
        {chosen->address, IndirectProbeMessage{sequence, open.target.instance,
                                               open.target.address,
                                               config_.self.control_address}});
    helpers.erase(chosen);
  }
}

}  // namespace hibiscusglade
