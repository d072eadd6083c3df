#ifndef HIBISCUSGLADE_OPERATOR_OPERATOR_BACKEND_H_
#define HIBISCUSGLADE_OPERATOR_OPERATOR_BACKEND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "base/settings_reader.h"
#include "limits/types/limit_status.h"
#include "membership/types/instance_record.h"
#include "rollouts/types/rollout.h"

namespace hibiscusglade {

/// An operator's proposal to patch the configuration.
struct PatchProposal {
  std::string patch_id;
  uint64_t base = 0;  ///< Version that is patched; must be the latest.
  std::string patch;  ///< RFC 6902.
  std::string author;
  /// Older version whose content is restored instead of a patch; 0 for none.
  uint64_t restore_content_of = 0;

  friend bool operator==(const PatchProposal&, const PatchProposal&) = default;
};

/// An operator's proposal to replace the whole configuration.
struct DocumentProposal {
  /// Equal for equal content, so that resending an accepted proposal returns
  /// its verdict again.
  std::string proposal_id;
  uint64_t base = 0;     ///< Version that is replaced; must be the latest.
  uint64_t number = 0;   ///< Chosen by the operator, above the latest.
  std::string document;  ///< Configuration document, JSON.
  std::string source;    ///< Document as the operator sent it; stored as is.
  std::string author;

  friend bool operator==(const DocumentProposal&,
                         const DocumentProposal&) = default;
};

/// Result of a proposal.
struct ProposalVerdict {
  std::error_code error;  ///< No error: accepted.
  uint64_t number = 0;    ///< Version that the proposal created.
  uint64_t latest = 0;    ///< Latest version when it was decided.
  std::vector<SettingsFault> faults;

  friend bool operator==(const ProposalVerdict&,
                         const ProposalVerdict&) = default;
};

/// One configuration version.
struct VersionRow {
  uint64_t number = 0;
  uint64_t parent = 0;
  Digest digest = 0;
  std::string patch_id;
  std::string author;
  uint64_t accepted_at = 0;  ///< Unix time in microseconds.
  std::string text;          ///< Document; empty in a history.
  std::string source;        ///< Document as proposed; latest version only.

  friend bool operator==(const VersionRow&, const VersionRow&) = default;
};

struct VersionRows {
  std::error_code error;
  std::vector<VersionRow> rows;
};

/// Rollout of a version in one failure domain.
struct DomainProgress {
  std::string failure_domain;
  uint32_t daemons = 0;              ///< Neither left nor dead.
  uint32_t in_force = 0;             ///< Of these, using it or a later version.
  std::vector<std::string> lagging;  ///< Instances that use an earlier version.
  bool reachable = false;

  friend bool operator==(const DomainProgress&,
                         const DomainProgress&) = default;
};

/// Status of this daemon.
struct DaemonStatus {
  std::string mesh;
  std::string instance;
  std::string failure_domain;
  uint64_t version_in_use = 0;
  std::string waiting_for;   ///< Why no version is in use; otherwise empty.
  std::string replica_role;  ///< Empty without the replica role.
  std::string leader_address;
  bool stopping = false;
  uint64_t version_age_ms = 0;  ///< Since this version came into use.
  /// Since this version was last confirmed as the latest one; absent: never.
  std::optional<uint64_t> confirmed_ms_ago;

  friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// An operator's order to move a service to upstreams of a version.
struct RolloutOrder {
  std::string service;
  std::string target_version;
  Duration duration{};  ///< Until the service must have moved; whole seconds.

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

/// Result of an order, or the last rollout of a service.
struct RolloutResult {
  std::error_code error;  ///< No error: `rollout` is as a majority recorded it.
  Rollout rollout;
  std::vector<SettingsFault> faults;
};

struct RolloutRows {
  std::error_code error;
  std::vector<Rollout> rows;
};

/// The daemon as seen by the operators' API. Any thread may call it; calls
/// block until the answer arrives, for at most a few seconds.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  virtual ProposalVerdict Propose(const PatchProposal& proposal) = 0;

  virtual ProposalVerdict ProposeDocument(const DocumentProposal& proposal) = 0;

  /// @return the verdict on a patch proposed earlier.
  virtual ProposalVerdict VerdictOf(const std::string& patch_id) = 0;

  /// @param number 0 for the latest.
  virtual VersionRows Version(uint64_t number) = 0;
  /// @return versions without their documents, newest first.
  virtual VersionRows History(uint32_t max_rows) = 0;

  /// Orders a rollout. The same order may be sent again.
  virtual RolloutResult OrderRollout(const RolloutOrder& order) = 0;
  /// @return the last rollout of a service, confirmed by a majority.
  virtual RolloutResult LastRollout(const std::string& service) = 0;
  /// @return the last rollout of each service, confirmed by a majority.
  virtual RolloutRows Rollouts() = 0;

  virtual std::vector<DomainProgress> InForce(uint64_t number) = 0;
  virtual std::vector<InstanceRecord> Instances() = 0;
  virtual DaemonStatus Status() = 0;
  /// @return what this daemon knows of a customer's limit.
  virtual LimitStatus StatusOfLimit(const std::string& customer) = 0;

  virtual std::string MetricsText() = 0;

  /// Drains the local upstream, as if it had announced that itself, and waits
  /// until that is in effect.
  /// @return whether it was in effect within a time limit.
  virtual bool DrainUpstream() = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OPERATOR_OPERATOR_BACKEND_H_
