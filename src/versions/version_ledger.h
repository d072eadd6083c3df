#ifndef HIBISCUSGLADE_VERSIONS_VERSION_LEDGER_H_
#define HIBISCUSGLADE_VERSIONS_VERSION_LEDGER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "consensus/replicated_state.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

namespace wire {
class PatchCommand;
class PatchVerdict;
class VersionQuery;
class VersionQueryAnswer;
class VersionsSnapshot;
}  // namespace wire

/// The accepted versions and the verdict on every patch, as driven by the
/// replicated log. A proposal is a patch, which becomes the next number, or a
/// whole document under a number its proposer chose above the latest. Commands
/// are wire::PatchCommand, results wire::PatchVerdict, reads wire::VersionQuery
/// and wire::VersionQueryAnswer.
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

 private:
  /// One kept version. Its text follows from the closest earlier `whole` and
  /// the patches since.
  struct Held {
    uint64_t number = 0;
    uint64_t parent = 0;
    Digest digest = 0;
    std::string patch;
    std::string whole;  ///< Set for the oldest and at every checkpoint.
    std::string patch_id;
    std::string author;
    uint64_t accepted_at = 0;  ///< Calendar time in microseconds.
    std::string source;        ///< Kept for the latest version only.
  };
  struct Verdict;

  Verdict Judge(const wire::PatchCommand& command);
  ConfigVersionPtr BuildNext(const wire::PatchCommand& command,
                             std::vector<SettingsFault>& faults,
                             int& code) const;
  ConfigVersionPtr BuildWhole(const wire::PatchCommand& command,
                              std::vector<SettingsFault>& faults, int& code);
  bool CheckpointDue() const;
  void Keep(const wire::PatchCommand& command, ConfigVersionPtr version);
  void DropOldest();
  void DropToNextWhole();
  size_t BytesSince(size_t place) const;
  const Held* Find(uint64_t number) const;
  std::string TextOf(const Held& version) const;
  bool RestoreVersions(const wire::VersionsSnapshot& snapshot);
  void Remember(const std::string& patch_id, Verdict verdict);

  Listener listener_;
  ConfigVersionPtr latest_;
  /// The latest text as a value, kept to compare the next document with.
  std::unique_ptr<nlohmann::json> latest_value_;
  Digest latest_value_digest_ = 0;
  std::deque<Held> versions_;
  std::map<std::string, Verdict> verdicts_;
  std::deque<std::string> verdict_order_;
  size_t verdict_bytes_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_VERSION_LEDGER_H_
