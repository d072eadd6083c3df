#include "control/internal/latest_number_reader.h"

#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

std::vector<UpstreamLeave> LeavesIn(const wire::VersionQueryAnswer& answer) {
  std::vector<UpstreamLeave> leaves;
  for (const wire::UpstreamLeave& in : answer.leaves()) {
    leaves.push_back({in.upstream(), in.started_at_ms(), in.sequence()});
  }
  return leaves;
}

}  // namespace

void LatestNumberReader::Read() {
  if (pending_) return;
  pending_ = true;
  wire::VersionQuery query;
  // A leader of an earlier release knows histories only.
  const bool history = std::exchange(reads_history_, false);
  query.set_kind(history ? wire::VersionQuery::HISTORY
                         : wire::VersionQuery::LATEST_NUMBER);
  query.set_most(1);
  query.set_leaves_of(leaves_of_);
  query.set_rollout_revision(rollout_revision_);
  const Instant begun_at = clock_.Now();
  group_client_.Submit(
      GroupId::kVersions, query.SerializeAsString(), true, begun_at,
      [this, begun_at, history](const ReplicaResult& result) {
        pending_ = false;
        wire::VersionQueryAnswer answer;
        if (result.error || !answer.ParseFromString(result.result)) return;
        reads_history_ = !history && !answer.found();
        if (reads_history_) return;
        if (!leaves_of_.empty()) {
          leaves_of_.clear();
          leaves_listener_(LeavesIn(answer));
        }
        if (answer.rollouts().states_size() > 0 && rollouts_listener_) {
          rollout_revision_ = answer.rollouts().revision();
          rollouts_listener_(FromWire(answer.rollouts()));
        }
        listener_(answer.versions().empty() ? 0 : answer.versions(0).number(),
                  begun_at);
      });
}

}  // namespace hibiscusglade
