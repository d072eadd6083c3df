#ifndef HIBISCUSGLADE_VERSIONS_VERSION_LEDGER_H_
#define HIBISCUSGLADE_VERSIONS_VERSION_LEDGER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "consensus/replicated_state.h"
#include "rollouts/rollout_codec.h"
#include "versions/document_editor.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

namespace wire {
class PatchCommand;
class PatchVerdict;
class UpstreamLeave;
class VersionQuery;
class VersionQueryAnswer;
class VersionsSnapshot;
}  // namespace wire

class LeaveTable;
class RolloutTable;

/// Replicated state of the versions group: the accepted versions, the verdicts
/// on proposals, the last leaves of upstreams and the last rollouts of
/// services. A proposal is a patch, which gets the next number, or a whole
/// document with a number above the latest that its proposer chose. A leave is
/// recorded before it is acknowledged to the upstream, so that a daemon knows
/// it also after all processes were killed. Commands are wire::PatchCommand,
/// results wire::PatchVerdict, reads wire::VersionQuery and
/// wire::VersionQueryAnswer.
class VersionLedger : public ReplicatedState {
 public:
  using Listener = std::function<void(const ConfigVersionPtr&)>;

  /// @param listener called with each version as it is accepted, and with the
  /// latest one after a restore.
  explicit VersionLedger(Listener listener);
  ~VersionLedger() override;

  std::string Apply(std::string_view command) override;
  std::string Read(std::string_view query) const override;
  std::string Snapshot() const override;
  bool Restore(std::string_view snapshot) override;

  /// @return the latest accepted version.
  const ConfigVersionPtr& Latest() const { return latest_; }

  /// @return the last rollout of each service.
  const RolloutsAt& Rollouts() const;

 private:
  /// A stored version. Its text results from the closest checkpoint at or
  /// before it and the patches since.
  struct KeptVersion {
    uint64_t number = 0;
    uint64_t parent = 0;
    Digest digest = 0;
    std::string patch;
    std::string whole;  ///< Full text, at checkpoints and for the oldest.
    std::string patch_id;
    std::string author;
    uint64_t accepted_at = 0;  ///< Calendar time in microseconds.
    std::string source;        ///< Stored for the latest version only.
  };
  struct RecordedVerdict;

  wire::PatchVerdict ApplyLeave(const wire::UpstreamLeave& leave);
  RecordedVerdict ApplyProposal(const wire::PatchCommand& command);
  ConfigVersionPtr BuildFromPatch(const wire::PatchCommand& command,
                                  std::vector<SettingsFault>& faults,
                                  int& code);
  ConfigVersionPtr BuildFromDocument(const wire::PatchCommand& command,
                                     std::vector<SettingsFault>& faults,
                                     int& code);
  DocumentEditor TakeEditor();
  bool CheckpointDue() const;
  void Append(const wire::PatchCommand& command, ConfigVersionPtr version);
  void DropOldest();
  void DropToNextCheckpoint();
  size_t BytesFrom(size_t first) const;
  const KeptVersion* Find(uint64_t number) const;
  std::string TextOf(const KeptVersion& version) const;
  bool RestoreVersions(const wire::VersionsSnapshot& snapshot);
  void RecordVerdict(const std::string& patch_id, RecordedVerdict recorded);

  Listener listener_;
  ConfigVersionPtr latest_;
  /// The text of the version with `latest_value_digest_`, parsed. Cached, as
  /// the next whole document is compared with it.
  std::unique_ptr<nlohmann::json> latest_value_;
  Digest latest_value_digest_ = 0;
  std::optional<DocumentEditor> editor_;  ///< See TakeEditor().
  std::deque<KeptVersion> versions_;
  std::map<std::string, RecordedVerdict> verdicts_;
  std::deque<std::string> verdict_order_;
  size_t verdict_bytes_ = 0;
  std::unique_ptr<LeaveTable> leaves_;
  std::unique_ptr<RolloutTable> rollouts_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_VERSION_LEDGER_H_
