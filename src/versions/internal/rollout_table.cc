#include "versions/internal/rollout_table.h"

#include <algorithm>
#include <string>
#include <utility>

#include "versions/versions_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMaxRollouts = 500;
constexpr size_t kMaxNameBytes = 200;
constexpr size_t kMaxReplaced = 20;
constexpr size_t kMaxReasonBytes = 300;
constexpr Duration kMaxDuration = std::chrono::hours(24);
/// Orders that arrive this long after the time limit are not resent ones.
constexpr int64_t kResendsEndMs = 10'000;
constexpr uint32_t kAllPermille = 1000;

void CheckName(const char* pointer, const std::string& name,
               std::vector<SettingsFault>& faults) {
  if (name.empty()) faults.push_back({pointer, "must not be empty"});
  if (name.size() > kMaxNameBytes) {
    faults.push_back(
        {pointer, "has more than " + std::to_string(kMaxNameBytes) + " bytes"});
  }
}

std::vector<SettingsFault> FaultsOf(const Rollout& order) {
  std::vector<SettingsFault> faults;
  CheckName("/service", order.service, faults);
  CheckName("/target_version", order.target_version, faults);
  if (order.duration < std::chrono::seconds(1) ||
      order.duration > kMaxDuration) {
    faults.push_back({"/duration_s", "must be from 1 s to a day"});
  }
  return faults;
}

/// @return whether a step may follow the recorded state.
bool MayFollow(const Rollout& next, const Rollout& now) {
  if (next.order != now.order || next.step != now.step + 1) return false;
  if (now.stage != RolloutStage::kRunning) return false;
  if (next.stage > RolloutStage::kRolledBack) return false;
  if (next.share_permille > kAllPermille) return false;
  return next.stage != RolloutStage::kCompleted || now.closes_others;
}

}  // namespace

RolloutVerdict RolloutTable::Order(const Rollout& state, int64_t now_ms) {
  RolloutVerdict verdict{{}, state, FaultsOf(state)};
  if (!verdict.faults.empty()) {
    verdict.error = VersionsCode::kInvalidRollout;
    return verdict;
  }
  const auto found = current_.rollouts.find(state.service);
  if (found != current_.rollouts.end()) {
    if (IsResent(state, now_ms)) return {{}, found->second, {}};
    if (found->second.stage == RolloutStage::kRunning) {
      return {VersionsCode::kRolloutInProgress, found->second, {}};
    }
  } else {
    MakeRoom();
  }
  Rollout begun;
  begun.service = state.service;
  begun.target_version = state.target_version;
  begun.duration = state.duration;
  begun.ordered_at_ms = now_ms;
  begun.order = current_.revision + 1;
  begun.reason = "ordered";
  return Record(std::move(begun));
}

RolloutVerdict RolloutTable::Step(const Rollout& state) {
  const auto found = current_.rollouts.find(state.service);
  if (found == current_.rollouts.end()) {
    return {VersionsCode::kNoSuchRollout, state, {}};
  }
  const Rollout& now = found->second;
  if (!MayFollow(state, now)) {
    return {VersionsCode::kRolloutStepOutdated, now, {}};
  }
  Rollout next = now;
  next.step = state.step;
  next.stage = state.stage;
  next.share_permille = state.share_permille;
  next.closes_others = state.closes_others;
  next.replaced_versions = state.replaced_versions;
  if (next.replaced_versions.size() > kMaxReplaced) {
    next.replaced_versions.resize(kMaxReplaced);
  }
  next.reason = state.reason.substr(0, kMaxReasonBytes);
  return Record(std::move(next));
}

wire::PatchVerdict RolloutTable::Apply(const wire::PatchCommand& command) {
  const Rollout state = FromWire(command.rollout().state());
  const auto now_ms = static_cast<int64_t>(command.proposed_at() / 1000);
  const RolloutVerdict recorded =
      command.rollout().is_order() ? Order(state, now_ms) : Step(state);
  wire::PatchVerdict verdict;
  verdict.set_code(recorded.error.value());
  ToWire(recorded.rollout, *verdict.mutable_rollout());
  for (const SettingsFault& fault : recorded.faults) {
    wire::PatchFault* out = verdict.add_faults();
    out->set_pointer(fault.pointer);
    out->set_message(fault.message);
  }
  return verdict;
}

void RolloutTable::AddTo(wire::VersionQueryAnswer& answer,
                         uint64_t known_revision) const {
  if (current_.revision == 0) return;
  if (current_.revision == known_revision) {
    answer.mutable_rollouts()->set_revision(known_revision);
  } else {
    ToWire(current_, *answer.mutable_rollouts());
  }
}

/// A completed order is at its aim, however late it is repeated. One that was
/// rolled back may be tried again once resends of it are over.
bool RolloutTable::IsResent(const Rollout& order, int64_t now_ms) const {
  const Rollout& now = current_.rollouts.at(order.service);
  if (order.target_version != now.target_version ||
      order.duration != now.duration) {
    return false;
  }
  const int64_t duration_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.duration)
          .count();
  return now.stage != RolloutStage::kRolledBack ||
         now_ms <= now.ordered_at_ms + duration_ms + kResendsEndMs;
}

RolloutVerdict RolloutTable::Record(Rollout state) {
  ++current_.revision;
  Rollout& recorded = current_.rollouts[state.service];
  recorded = std::move(state);
  return {{}, recorded, {}};
}

/// Drops the oldest rollout that has ended: its upstreams are served like those
/// of any version then.
void RolloutTable::MakeRoom() {
  if (current_.rollouts.size() < kMaxRollouts) return;
  auto oldest = current_.rollouts.end();
  for (auto it = current_.rollouts.begin(); it != current_.rollouts.end();
       ++it) {
    if (it->second.stage == RolloutStage::kRunning) continue;
    if (oldest == current_.rollouts.end() ||
        it->second.order < oldest->second.order) {
      oldest = it;
    }
  }
  if (oldest != current_.rollouts.end()) current_.rollouts.erase(oldest);
}

}  // namespace hibiscusglade
