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
#include "limits/types/limit_status.h"
#include "membership/types/instance_record.h"
#include "operator/operator_backend.h"
#include "peer/peer_transport.h"
#include "rollouts/rollout_tally.h"
#include "routing/route_table_holder.h"
#include "upstream/announcement_api.h"

namespace hibiscusglade {

/// Identity, addresses and settings of this daemon in its mesh.
struct ControlConfig {
  PeerIdentity identity;
  std::string region;
  std::string listen_address;      ///< Of the control plane, "ip:port".
  std::string control_address;     ///< Own address advertised to peers.
  std::string request_address;     ///< Own address advertised to peers.
  std::vector<std::string> seeds;  ///< Control addresses of other daemons.
  std::vector<Member> replicas;    ///< Replicas named in the settings.
  /// Announcements of another service, or of another address than
  /// `local_upstream`, are ignored; an empty string accepts any.
  std::string local_service;
  std::string local_upstream;
  bool founds_mesh = false;  ///< Whether `replicas` are founders of a new mesh.
  bool serves_claims = true;  ///< Whether the replica also serves claims.
  std::string data_folder;    ///< Set when this instance is a replica.
  /// Disks of replicas that may be lost at the same time.
  uint32_t tolerated_losses = 1;
  uint64_t seed = 0;  ///< Of all random choices.
  /// Outcomes seen during rollouts; nullptr: none are reported.
  RolloutTally* rollouts = nullptr;
  /// Longest wait for an announcement to be in effect. Upstreams wait a second
  /// for its acknowledgement.
  Duration in_effect_timeout = std::chrono::milliseconds(800);
};

/// Notified of the local upstream and its limits, on the control thread.
class LocalUpstreamListener {
 public:
  virtual ~LocalUpstreamListener() = default;

  virtual void OnLocalUpstream(
      const std::optional<UpstreamAnnouncement>& upstream,
      const AdmissionConfig& limits) = 0;

  /// Calls `done` on any thread once all earlier updates are in effect.
  virtual void AfterUpdates(std::function<void()> done) = 0;

  /// Called on operators' threads.
  /// @return what the request plane knows of a customer's limit.
  virtual LimitStatus StatusOfLimit(const std::string& customer) { return {}; }
};

/// The daemon's control thread. Runs the replicated groups, the distribution of
/// versions and the membership, and publishes the route table built from them.
class ControlLoop : public OperatorBackend, public AnnouncementSink {
 public:
  /// Opens the data folder, listens and starts the thread.
  virtual std::error_code Start() = 0;

  /// Notifies peers once more that this daemon leaves, and ends the thread.
  /// Waits a while for the replicas' groups to do without it.
  virtual void Stop() = 0;

  /// Marks the daemon as stopping: it is no longer ready, its upstream drains,
  /// and peers are notified that it leaves.
  virtual void BeginStop() = 0;

  /// Replaces the seeds and the replicas named in the settings, after the
  /// settings have changed.
  virtual void SetSeeds(const std::vector<std::string>& seeds,
                        const std::vector<Member>& replicas) = 0;

  /// @return whether a version is in use and the daemon is not stopping. Any
  /// thread may call it.
  virtual bool Ready() const = 0;

  /// Makes a store that submits claims to the replicated ledger.
  /// @param executor delivers the results on its thread; must outlive the
  /// store.
  virtual std::unique_ptr<ClaimStore> MakeClaimStore(Executor& executor) = 0;
};

/// @param routes receives each new route table.
/// @param listener notified of the local upstream.
std::unique_ptr<ControlLoop> MakeControlLoop(const ControlConfig& config,
                                             const Clock& clock,
                                             Metrics& metrics,
                                             RouteTableHolder& routes,
                                             LocalUpstreamListener& listener);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_CONTROL_LOOP_H_
