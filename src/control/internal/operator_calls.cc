#include "control/internal/operator_calls.h"

#include <utility>

#include "base/compression.h"
#include "control/internal/control_views.h"
#include "operator/operator_result_codes.h"
#include "rollouts/rollout_codec.h"
#include "versions/versions_result_codes.h"

namespace hibiscusglade {

ProposalVerdict OperatorCalls::Propose(const PatchProposal& proposal) {
  wire::PatchCommand command;
  command.set_patch_id(proposal.patch_id);
  command.set_base(proposal.base);
  command.set_patch(proposal.patch);
  command.set_author(proposal.author);
  command.set_restore_content_of(proposal.restore_content_of);
  return SubmitProposal(command);
}

ProposalVerdict OperatorCalls::ProposeDocument(
    const DocumentProposal& proposal) {
  wire::PatchCommand command;
  command.set_patch_id(proposal.proposal_id);
  command.set_base(proposal.base);
  command.set_number(proposal.number);
  command.set_document(Compress(proposal.document));
  command.set_source(Compress(proposal.source));
  command.set_author(proposal.author);
  return SubmitProposal(command);
}

ProposalVerdict OperatorCalls::VerdictOf(const std::string& patch_id) {
  wire::VersionQuery query;
  query.set_kind(wire::VersionQuery::VERDICT);
  query.set_patch_id(patch_id);
  std::error_code error;
  const wire::VersionQueryAnswer answer = Query(query, error);
  if (error) return {error, 0, 0, {}};
  return VerdictFromWire(answer.verdict());
}

VersionRows OperatorCalls::Version(uint64_t number) {
  wire::VersionQuery query;
  query.set_kind(number == 0 ? wire::VersionQuery::LATEST
                             : wire::VersionQuery::NUMBER);
  query.set_number(number);
  return QueryRows(query);
}

VersionRows OperatorCalls::History(uint32_t most) {
  wire::VersionQuery query;
  query.set_kind(wire::VersionQuery::HISTORY);
  query.set_most(most);
  return QueryRows(query);
}

RolloutResult OperatorCalls::OrderRollout(const RolloutOrder& order) {
  wire::PatchCommand command;
  command.mutable_rollout()->set_is_order(true);
  Rollout state;
  state.service = order.service;
  state.target_version = order.target_version;
  state.duration = order.duration;
  ToWire(state, *command.mutable_rollout()->mutable_state());
  command.set_proposed_at(static_cast<uint64_t>(clock_.UnixMicros()));
  const ReplicaResult result =
      SubmitAndWait(command.SerializeAsString(), false);
  if (result.error) return {result.error, state, {}};
  wire::PatchVerdict verdict;
  verdict.ParseFromString(result.result);
  const ProposalVerdict judged = VerdictFromWire(verdict);
  return {judged.error, FromWire(verdict.rollout()), judged.faults};
}

RolloutResult OperatorCalls::LastRollout(const std::string& service) {
  const RolloutRows rollouts = Rollouts();
  if (rollouts.error) return {rollouts.error, {}, {}};
  for (const Rollout& rollout : rollouts.rows) {
    if (rollout.service == service) return {{}, rollout, {}};
  }
  return {VersionsCode::kNoSuchRollout, {}, {}};
}

RolloutRows OperatorCalls::Rollouts() {
  wire::VersionQuery query;
  query.set_kind(wire::VersionQuery::ROLLOUTS);
  RolloutRows rows;
  const wire::VersionQueryAnswer answer = Query(query, rows.error);
  for (const wire::RolloutState& state : answer.rollouts().states()) {
    rows.rows.push_back(FromWire(state));
  }
  return rows;
}

ReplicaResult OperatorCalls::SubmitAndWait(std::string command, bool read) {
  auto promise = std::make_shared<std::promise<ReplicaResult>>();
  auto future = promise->get_future();
  executor_.Post([this, promise, command = std::move(command), read] {
    group_client_.Submit(
        GroupId::kVersions, command, read, clock_.Now(),
        [promise](const ReplicaResult& result) { promise->set_value(result); });
  });
  if (future.wait_for(kOperatorTimeout) != std::future_status::ready) {
    return {OperatorCode::kInternalTimeout, ""};
  }
  return future.get();
}

ProposalVerdict OperatorCalls::SubmitProposal(wire::PatchCommand& command) {
  command.set_proposed_at(static_cast<uint64_t>(clock_.UnixMicros()));
  const ReplicaResult result =
      SubmitAndWait(command.SerializeAsString(), false);
  if (result.error) return {result.error, 0, 0, {}};
  wire::PatchVerdict verdict;
  verdict.ParseFromString(result.result);
  return VerdictFromWire(verdict);
}

wire::VersionQueryAnswer OperatorCalls::Query(const wire::VersionQuery& query,
                                              std::error_code& error) {
  wire::VersionQueryAnswer answer;
  ReplicaResult result = SubmitAndWait(query.SerializeAsString(), true);
  error = result.error;
  if (error) return answer;
  answer.ParseFromString(result.result);
  if (!answer.found()) error = VersionsCode::kNoSuchVersion;
  return answer;
}

VersionRows OperatorCalls::QueryRows(const wire::VersionQuery& query) {
  VersionRows rows;
  const wire::VersionQueryAnswer answer = Query(query, rows.error);
  for (const wire::StoredVersion& version : answer.versions()) {
    rows.rows.push_back(VersionRowFromWire(version));
  }
  return rows;
}

}  // namespace hibiscusglade
