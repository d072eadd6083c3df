#ifndef HIBISCUSGLADE_CONTROL_CONTROL_LOOP_H_
#define HIBISCUSGLADE_CONTROL_CONTROL_LOOP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "admission/admission.h"
#include "base/clock.h"
#include "base/executor.h"
#include "base/metrics.h"
#include "claims/claim_store.h"
#include "consensus/types/consensus_types.h"
#include "membership/types/instance_record.h"
#include "operator/operator_backend.h"
#include "peer/peer_transport.h"
#include "routing/route_table_holder.h"
#include "upstream/announcement_api.h"

namespace hibiscusglade {

/// Where this daemon stands in its mesh.
struct ControlConfig {
  PeerIdentity identity;
  std::string region;
  std::string listen_address;      ///< Of the control plane, "ip:port".
  std::string control_address;     ///< Own, as peers reach it.
  std::string request_address;     ///< Own, as peers reach it.
  std::vector<std::string> seeds;  ///< Control addresses of other daemons.
  std::vector<Member> replicas;    ///< Replicas to start from.
  std::string local_service;       ///< Announcements of others are not taken,
  std::string local_upstream;      ///< nor at another address; empty: any.
  bool founds_mesh = false;        ///< Those found a new mesh.
  bool serves_claims = true;       ///< The replica keeps the claims as well.
  std::string data_folder;         ///< Set when this instance is a replica.
  uint64_t seed = 0;               ///< Of all random choices.
};

/// Told of the local upstream and its limits; called on the control thread.
class LocalUpstreamListener {
 public:
  virtual ~LocalUpstreamListener() = default;

  virtual void OnLocalUpstream(
      const std::optional<UpstreamAnnouncement>& upstream,
      const AdmissionConfig& limits) = 0;
};

/// The daemon's control thread: replicated groups, distribution of versions,
/// membership, and the route table made of them.
class ControlLoop : public OperatorBackend, public AnnouncementSink {
 public:
  /// Opens the data folder, listens and starts the thread.
  virtual std::error_code Start() = 0;

  /// Tells peers that this daemon leaves, and ends the thread.
  virtual void Stop() = 0;

  /// Marks the daemon as stopping: its upstream takes no new work.
  virtual void BeginStop() = 0;

  /// Replaces the daemons and replicas to start from, when the settings have
  /// changed.
  virtual void SetSeeds(const std::vector<std::string>& seeds,
                        const std::vector<Member>& replicas) = 0;

  /// @return whether a version is in use and the daemon is not stopping. Any
  /// thread may call it.
  virtual bool Ready() const = 0;

  /// Makes a way to the ledger of claims.
  /// @param executor thread on which results are told; must outlive the store.
  virtual std::unique_ptr<ClaimStore> MakeClaimStore(Executor& executor) = 0;
};

/// @param routes receives each new route table.
/// @param listener told of the local upstream.
std::unique_ptr<ControlLoop> MakeControlLoop(const ControlConfig& config,
                                             const Clock& clock,
                                             Metrics& metrics,
                                             RouteTableHolder& routes,
                                             LocalUpstreamListener& listener);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_CONTROL_LOOP_H_
