#ifndef HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_WATCH_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_WATCH_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "owner/internal/job.h"
#include "owner/internal/run_reporter.h"
#include "owner/internal/upstream_death_detector.h"
#include "owner/owner.h"

namespace hibiscusglade {

/// What an owner knows of the upstream beside it: its announcement, and whether
/// it accepts connections, has been replaced or has died. Probes it, and
/// notifies the owner's listener.
class UpstreamWatch {
 public:
  /// @param parts must outlive this object.
  explicit UpstreamWatch(const OwnerParts& parts) : parts_(parts) {}

  /// Sets the latest announcement, if there is one. That of an upstream that
  /// was found to be replaced is ignored.
  /// @param running runs under way.
  void Set(const std::optional<UpstreamAnnouncement>& upstream,
           const std::set<RunId>& running, Instant now);

  /// @return the announcement of the upstream in use; nullopt: there is none.
  const std::optional<UpstreamAnnouncement>& Current() const {
    return current_;
  }

  /// @return whether the upstream accepts no connections.
  bool Down() const { return down_; }
  bool Drains() const;

  /// Ends the announcement of the upstream that a run was sent to, as another
  /// one answers at its address. Only an announcement of another id or start
  /// time takes its place. One without an id is kept, and its upstream is down.
  /// @return whether that upstream was in use.
  bool EndAnnouncementOf(const Job& job);

  /// A run could not be sent, as the upstream accepted no connection.
  void OnConnectionRefused() { down_ = true; }

  /// A run lost its connection. Reports it as a suspect if it was under way at
  /// a death that is already known.
  /// @param running runs under way, with or without the given one.
  void OnConnectionLost(RunId run, Digest fingerprint,
                        const std::set<RunId>& running, Instant now);

  /// A run ended, or its lost connection was reported.
  void OnRunEnded(RunId run) { death_detector_.OnRunEnded(run); }

  /// Ends the examination of lost connections if no probe is needed for it.
  void Examine(Instant now);

  /// @return whether lost connections are being examined.
  bool MayHaveDied() const { return death_detector_.Examining(); }

  /// Probes the upstream if it is down or may have died.
  void SendProbe(Instant now);

  /// The probe ended. Reports a death that it proves.
  /// @param running runs under way.
  /// @return whether it finds the upstream in use to be down.
  bool OnProbed(bool reachable, const std::set<RunId>& running, Instant now);

 private:
  /// @return whether an announcement is of the process that is in use.
  bool IsSameProcess(const UpstreamAnnouncement& upstream) const;

  /// @return whether an announcement is of the upstream that is in use.
  bool IsCurrent(const UpstreamAnnouncement& upstream) const;

  /// @return whether an announcement is of the upstream that was last found to
  /// be replaced.
  bool IsReplaced(const UpstreamAnnouncement& upstream) const;

  void SetReachable(bool reachable);
  /// The examination has shown that the upstream did not die.
  void EndExamination(std::string_view evidence, Instant now);

  /// The upstream in use has died.
  void OnDeath(std::string_view evidence, const std::set<RunId>& running,
               Instant now);

  const OwnerParts& parts_;
  UpstreamDeathDetector death_detector_;
  RunReporter reporter_;
  std::optional<UpstreamAnnouncement> current_;
  /// The upstream whose announcement was ended, as another one answers at its
  /// address.
  std::optional<UpstreamAnnouncement> replaced_;
  bool down_ = false;           ///< The upstream accepts no connections.
  bool down_notified_ = false;  ///< The listener was notified of it.
  bool probing_ = false;
  bool probe_outdated_ = false;  ///< The probe is of the upstream before.
  bool probe_examines_ = false;  ///< It began after a connection was lost.
  Instant next_probe_;
  std::string service_of_dead_;  ///< Of the last upstream that died.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_UPSTREAM_WATCH_H_
