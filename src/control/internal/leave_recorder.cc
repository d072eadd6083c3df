#include "control/internal/leave_recorder.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

/// Recorded leaves that are remembered; an older one is recorded again.
constexpr size_t kMaxRemembered = 16;

/// @return what kept a leave from being recorded; no error when it may be
/// acknowledged.
std::error_code OutcomeOf(const ReplicaResult& result) {
  if (result.error) return result.error;
  wire::PatchVerdict verdict;
  if (!verdict.ParseFromString(result.result)) {
    return VersionsCode::kDamagedCommand;
  }
  const auto code = static_cast<VersionsCode>(verdict.code());
  // A leader of an earlier release, which records no leaves, takes it for a
  // patch without an id. Leaves are acknowledged as in that release.
  if (verdict.code() == 0 || code == VersionsCode::kMissingPatchId) return {};
  return code;
}

}  // namespace

LeaveRecorder::LeaveRecorder(std::string instance, Metrics& metrics,
                             Submitter submitter)
    : instance_(std::move(instance)),
      submitter_(std::move(submitter)),
      unrecorded_(metrics.CounterOf("leaves_unrecorded_total", "")) {}

void LeaveRecorder::Record(const UpstreamLeave& leave, Done done) {
  if (IsRecorded(leave)) {
    done(true);
    return;
  }
  if (PendingLeave* pending = FindPending(leave)) {
    pending->waiting.push_back(std::move(done));
    return;
  }
  pending_.push_back({leave, {std::move(done)}});
  const auto pending = std::prev(pending_.end());
  submitter_(Encode(leave), [this, pending](const ReplicaResult& result) {
    Finish(pending, result);
  });
}

void LeaveRecorder::OnLeavesRead(const std::vector<UpstreamLeave>& leaves) {
  for (const UpstreamLeave& leave : leaves) Remember(leave);
}

void LeaveRecorder::OnServing(const UpstreamAnnouncement& upstream) {
  last_serving_ = upstream;
}

std::string LeaveRecorder::Encode(const UpstreamLeave& leave) const {
  wire::PatchCommand command;
  wire::UpstreamLeave* out = command.mutable_leave();
  out->set_instance(instance_);
  out->set_upstream(leave.id);
  out->set_started_at_ms(leave.started_at_ms);
  out->set_sequence(leave.sequence);
  return command.SerializeAsString();
}

bool LeaveRecorder::IsInForce(const UpstreamLeave& leave) const {
  return !last_serving_.has_value() || !IsOf(leave, *last_serving_) ||
         leave.sequence > last_serving_->sequence;
}

bool LeaveRecorder::IsRecorded(const UpstreamLeave& leave) const {
  return std::any_of(
      recorded_.begin(), recorded_.end(), [&](const UpstreamLeave& recorded) {
        return IsSameIncarnation(recorded, leave) && IsInForce(recorded);
      });
}

LeaveRecorder::PendingLeave* LeaveRecorder::FindPending(
    const UpstreamLeave& leave) {
  for (PendingLeave& pending : pending_) {
    if (IsSameIncarnation(pending.leave, leave) && IsInForce(pending.leave)) {
      return &pending;
    }
  }
  return nullptr;
}

void LeaveRecorder::Finish(std::list<PendingLeave>::iterator pending,
                           const ReplicaResult& result) {
  const PendingLeave finished = std::move(*pending);
  pending_.erase(pending);
  const std::error_code error = OutcomeOf(result);
  const LogFields fields = {
      {"upstream", finished.leave.id},
      {"born", std::to_string(finished.leave.started_at_ms)},
      {"sequence", std::to_string(finished.leave.sequence)}};
  if (error) {
    unrecorded_.Add();
    Log(LogLevel::kWarning, "control",
        "A leave was not recorded: " + error.message() + ".", fields);
  } else {
    Remember(finished.leave);
    Log(LogLevel::kInfo, "control", "A leave was recorded.", fields);
  }
  for (const Done& done : finished.waiting) done(!error);
}

void LeaveRecorder::Remember(const UpstreamLeave& leave) {
  recorded_.push_back(leave);
  if (recorded_.size() > kMaxRemembered) recorded_.erase(recorded_.begin());
}

}  // namespace hibiscusglade
