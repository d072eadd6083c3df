#ifndef HIBISCUSGLADE_VERSIONS_INTERNAL_ROLLOUT_TABLE_H_
#define HIBISCUSGLADE_VERSIONS_INTERNAL_ROLLOUT_TABLE_H_

#include <cstdint>
#include <system_error>
#include <utility>
#include <vector>

#include "base/settings_reader.h"
#include "rollouts/rollout_codec.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {

/// What became of a command about a rollout.
struct RolloutVerdict {
  std::error_code error;  ///< No error: recorded, or recorded before.
  Rollout rollout;        ///< Of the service, as it is now.
  std::vector<SettingsFault> faults;
};

/// The last rollout of each service: operators' orders, and the steps by which
/// they are carried out. Part of the replicated state: the same commands in the
/// same order make equal tables.
///
/// Load pattern: orders are resent when their acknowledgement is lost, and two
/// leaders of the log may both judge the same rollout for a while. So an equal
/// order is acknowledged again, and a step counts only as the successor of the
/// one that is recorded: the first one wins, whoever sent it.
class RolloutTable {
 public:
  /// @param state the order; its numbers and its step are ignored.
  /// @param now_ms Unix time at which it was proposed.
  RolloutVerdict Order(const Rollout& state, int64_t now_ms);

  /// @param state the state after the step, with the numbers of the order and
  /// of the step. Nothing follows a verdict, and only a rollout that has closed
  /// the other versions is completed.
  RolloutVerdict Step(const Rollout& state);

  /// Carries out a command that is an order or a step.
  wire::PatchVerdict Apply(const wire::PatchCommand& command);

  /// Adds the rollouts to the answer of a read, if there are any: without their
  /// states when the reader knows this revision.
  void AddTo(wire::VersionQueryAnswer& answer, uint64_t known_revision) const;

  const RolloutsAt& Current() const { return current_; }
  void Restore(RolloutsAt rollouts) { current_ = std::move(rollouts); }

 private:
  bool IsResent(const Rollout& order, int64_t now_ms) const;
  RolloutVerdict Record(Rollout state);
  void MakeRoom();

  RolloutsAt current_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_INTERNAL_ROLLOUT_TABLE_H_
