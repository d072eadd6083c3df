#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_OPERATOR_CALLS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_OPERATOR_CALLS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <system_error>

#include "base/clock.h"
#include "base/executor.h"
#include "consensus/replica.h"
#include "control/internal/group_client.h"
#include "operator/operator_backend.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {

/// Operators' calls that wait for the control thread or for the leader of the
/// versions group. Any thread but the control thread may make them.
class OperatorCalls {
 public:
  /// @param executor runs tasks on the control thread.
  /// @param group_client used on the control thread only.
  OperatorCalls(Executor& executor, GroupClient& group_client,
                const Clock& clock)
      : executor_(executor), group_client_(group_client), clock_(clock) {}

  ProposalVerdict Propose(const PatchProposal& proposal);
  ProposalVerdict ProposeDocument(const DocumentProposal& proposal);

  /// @return the verdict on a patch proposed earlier.
  ProposalVerdict VerdictOf(const std::string& patch_id);

  /// @param number 0 for the latest.
  VersionRows Version(uint64_t number);

  /// @return versions without their documents, newest first.
  VersionRows History(uint32_t most);

  RolloutResult OrderRollout(const RolloutOrder& order);

  /// @return the last rollout of a service, confirmed by a majority.
  RolloutResult LastRollout(const std::string& service);

  /// @return the last rollout of each service, confirmed by a majority.
  RolloutRows Rollouts();

  /// Runs a function on the control thread and waits for its result.
  /// @return an empty result after kOperatorTimeout.
  template <typename Result>
  Result RunOnControlThread(std::function<Result()> work) {
    auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    executor_.Post([promise, work] { promise->set_value(work()); });
    if (future.wait_for(kOperatorTimeout) != std::future_status::ready) {
      return Result{};
    }
    return future.get();
  }

 private:
  static constexpr std::chrono::seconds kOperatorTimeout{6};

  ReplicaResult SubmitAndWait(std::string command, bool read);

  /// Adds the time to a proposal, submits it and waits for the verdict.
  ProposalVerdict SubmitProposal(wire::PatchCommand& command);

  wire::VersionQueryAnswer Query(const wire::VersionQuery& query,
                                 std::error_code& error);
  VersionRows QueryRows(const wire::VersionQuery& query);

  Executor& executor_;
  GroupClient& group_client_;
  const Clock& clock_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_OPERATOR_CALLS_H_
