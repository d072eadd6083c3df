#include "rollouts/rollout_reports.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

constexpr Duration kHeardLately = std::chrono::seconds(2);

void AddAll(const OutcomeMap& counts, OutcomeMap& sum) {
  for (const auto& [key, outcome] : counts) sum[key] += outcome;
}

}  // namespace

void RolloutReports::Add(const std::string& sender, uint64_t incarnation,
                         const RolloutReport& report, Instant now) {
  if (report.order < order_) return;
  if (report.order > order_) *this = {};
  order_ = report.order;
  Sender& known = senders_[sender];
  if (incarnation < known.incarnation) return;
  if (incarnation > known.incarnation) AddAll(known.last.counts, ended_);
  known = {incarnation, report, now};
}

RolloutView RolloutReports::ViewOf(const Rollout& recorded,
                                   const std::vector<InstanceRecord>& records,
                                   Duration since_order, Instant now) const {
  RolloutView view;
  view.recorded = recorded;
  view.since_order = since_order;
  const bool of_this_order = order_ == recorded.order;
  if (of_this_order) {
    view.counts = ended_;
    for (const auto& [name, sender] : senders_) {
      AddAll(sender.last.counts, view.counts);
    }
  }
  for (const InstanceRecord& record : records) {
    if (record.state > InstanceState::kSuspected) continue;
    ++view.daemons;
    const auto sender = senders_.find(record.instance);
    if (of_this_order && sender != senders_.end() &&
        now - sender->second.heard_at <= kHeardLately) {
      ++view.daemons_heard;
    }
    if (record.service == recorded.service) {
      CountUpstream(recorded, record, view);
    }
  }
  return view;
}

void RolloutReports::CountUpstream(const Rollout& recorded,
                                   const InstanceRecord& record,
                                   RolloutView& view) const {
  if (record.upstream_state == UpstreamState::kNone) return;
  if (record.upstream_version == recorded.target_version) {
    if (record.upstream_state != UpstreamState::kServing) return;
    ++view.target_ready;
    view.target_slots += record.slots;
    return;
  }
  view.others_slots += record.slots;
  if (!IsClosedAndIdle(recorded, record)) ++view.others_open;
  if (std::ranges::find(view.other_versions, record.upstream_version) ==
      view.other_versions.end()) {
    view.other_versions.push_back(record.upstream_version);
  }
}

/// A report made before the closing step was in force there doesn't count: the
/// owner could have taken a request since.
bool RolloutReports::IsClosedAndIdle(const Rollout& recorded,
                                     const InstanceRecord& record) const {
  const auto sender = senders_.find(record.instance);
  if (!recorded.closes_others || sender == senders_.end()) return false;
  const RolloutReport& last = sender->second.last;
  return last.order == recorded.order && last.step >= recorded.step &&
         sender->second.incarnation == record.incarnation &&
         last.local.closed && last.local.open == 0;
}

}  // namespace hibiscusglade
