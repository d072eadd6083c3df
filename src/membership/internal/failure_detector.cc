#include "membership/internal/failure_detector.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {

void FailureDetector::Probe(const ProbeTarget& target,
                            std::vector<ProbeTarget> helpers, Instant now,
                            MembershipEffects& effects) {
  const uint64_t sequence = ++last_sequence_;
  PendingProbe& probe = pending_[sequence];
  probe.target = target;
  probe.helpers = std::move(helpers);
  probe.deadline = now + config_.probe_timeout;
  effects.send.push_back(
      {target.address, ProbeMessage{sequence, config_.self.instance}});
}

void FailureDetector::OnTick(Instant now, MembershipEffects& effects) {
  for (auto item = pending_.begin(); item != pending_.end();) {
    PendingProbe& probe = item->second;
    if (now < probe.deadline) {
      ++item;
      continue;
    }
    if (probe.asker_address.empty() && !probe.helpers_asked) {
      probe.helpers_asked = true;
      probe.deadline = now + 2 * config_.probe_timeout;
      RequestIndirectProbes(item->first, probe, effects);
      ++item;
      continue;
    }
    if (probe.asker_address.empty())
      unresponsive_.push_back(probe.target.instance);
    item = pending_.erase(item);
  }
}

void FailureDetector::OnIndirectProbe(const IndirectProbeMessage& message,
                                      Instant now, MembershipEffects& effects) {
  Probe({message.target_instance, message.target_address}, {}, now, effects);
  PendingProbe& probe = pending_[last_sequence_];
  probe.asker_address = message.asker_address;
  probe.asker_sequence = message.sequence;
}

void FailureDetector::OnAck(const ProbeAckMessage& ack,
                            MembershipEffects& effects) {
  auto found = pending_.find(ack.sequence);
  if (found == pending_.end() ||
      found->second.target.instance != ack.instance) {
    return;
  }
  const PendingProbe& probe = found->second;
  if (!probe.asker_address.empty()) {
    effects.send.push_back(
        {probe.asker_address,
         ProbeAckMessage{probe.asker_sequence, ack.instance}});
  }
  pending_.erase(found);
}

bool FailureDetector::IsProbing(const std::string& instance) const {
  return std::any_of(pending_.begin(), pending_.end(), [&](const auto& item) {
    return item.second.asker_address.empty() &&
           item.second.target.instance == instance;
  });
}

std::vector<std::string> FailureDetector::TakeUnresponsive() {
  return std::exchange(unresponsive_, {});
}

void FailureDetector::RequestIndirectProbes(uint64_t sequence,
                                            PendingProbe& probe,
                                            MembershipEffects& effects) {
  std::vector<ProbeTarget>& helpers = probe.helpers;
  for (size_t i = 0; i < kMaxHelpers && !helpers.empty(); ++i) {
    const auto chosen =
        helpers.begin() + static_cast<ptrdiff_t>(random_.Below(helpers.size()));
    effects.send.push_back(
        {chosen->address, IndirectProbeMessage{sequence, probe.target.instance,
                                               probe.target.address,
                                               config_.self.control_address}});
    helpers.erase(chosen);
  }
}

}  // namespace hibiscusglade
