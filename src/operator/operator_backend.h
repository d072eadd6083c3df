#ifndef HIBISCUSGLADE_OPERATOR_OPERATOR_BACKEND_H_
#define HIBISCUSGLADE_OPERATOR_OPERATOR_BACKEND_H_

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

#include "base/settings_reader.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// An operator's proposal to change the configuration.
struct PatchProposal {
  std::string patch_id;
  uint64_t base = 0;
  std::string patch;  ///< RFC 6902.
  std::string author;
  uint64_t restore_content_of = 0;  ///< Instead of a patch: an older number.

  friend bool operator==(const PatchProposal&, const PatchProposal&) = default;
};

/// An operator's proposal of a whole configuration.
struct DocumentProposal {
  std::string proposal_id;  ///< Same for the same content, so that a resend of
                            ///< one that was accepted gets its verdict again.
  uint64_t base = 0;
  uint64_t number = 0;   ///< The operator's choice, above the latest.
  std::string document;  ///< Configuration document, JSON.
  std::string source;    ///< The operator's own form of it; kept as it is.
  std::string author;

  friend bool operator==(const DocumentProposal&,
                         const DocumentProposal&) = default;
};

/// The mesh's word on a proposal.
struct ProposalVerdict {
  std::error_code error;  ///< No error: accepted.
  uint64_t number = 0;    ///< The version it became.
  uint64_t latest = 0;
  std::vector<SettingsFault> faults;

  friend bool operator==(const ProposalVerdict&,
                         const ProposalVerdict&) = default;
};

struct VersionRow {
  uint64_t number = 0;
  uint64_t parent = 0;
  Digest digest = 0;
  std::string patch_id;
  std::string author;
  uint64_t accepted_at = 0;  ///< Calendar time in microseconds.
  std::string text;          ///< Empty in a history.
  std::string source;        ///< The proposer's own form; latest version only.

  friend bool operator==(const VersionRow&, const VersionRow&) = default;
};

struct VersionRows {
  std::error_code error;
  std::vector<VersionRow> rows;
};

/// How far a version has come in one failure domain.
struct DomainProgress {
  std::string failure_domain;
  uint32_t daemons = 0;
  uint32_t in_force = 0;
  std::vector<std::string> lagging;
  bool reachable = false;

  friend bool operator==(const DomainProgress&,
                         const DomainProgress&) = default;
};

/// One daemon's state.
struct DaemonStatus {
  std::string mesh;
  std::string instance;
  std::string failure_domain;
  uint64_t version_in_use = 0;
  std::string waiting_for;   ///< Why no version is in use; empty else.
  std::string replica_role;  ///< Empty without the replica role.
  std::string leader_address;
  bool stopping = false;
  uint64_t version_age_ms = 0;  ///< Since this version was put in use.

  friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// What the operators' API asks of the daemon. Any thread may call it; calls
/// wait for their answer, a few seconds at most.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  virtual ProposalVerdict Propose(const PatchProposal& proposal) = 0;

  virtual ProposalVerdict ProposeDocument(const DocumentProposal& proposal) = 0;

  /// @return the verdict on a patch id proposed before.
  virtual ProposalVerdict VerdictOf(const std::string& patch_id) = 0;

  /// @param number 0 asks for the latest.
  virtual VersionRows Version(uint64_t number) = 0;
  virtual VersionRows History(uint32_t most) = 0;
  virtual std::vector<DomainProgress> InForce(uint64_t number) = 0;
  virtual std::vector<InstanceRecord> Instances() = 0;
  virtual DaemonStatus Status() = 0;
  virtual std::string MetricsText() = 0;

  /// Takes the local upstream out of service, as if it had announced it.
  virtual void DrainUpstream() = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OPERATOR_OPERATOR_BACKEND_H_
