#ifndef HIBISCUSGLADE_MEMBERSHIP_MEMBERSHIP_H_
#define HIBISCUSGLADE_MEMBERSHIP_MEMBERSHIP_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "membership/types/instance_record.h"
#include "membership/types/upstream_leave.h"

namespace hibiscusglade {

struct MembershipConfig {
  InstanceRecord self;             ///< Initial record, without an upstream.
  std::vector<std::string> seeds;  ///< Control addresses of daemons to join by.
  /// Announcements of another service or address are ignored; empty accepts
  /// any.
  std::string expected_service;
  std::string expected_address;
  Duration gossip_interval = std::chrono::milliseconds(200);
  /// A daemon that has just started gossips at these shorter intervals. When a
  /// whole mesh starts at one moment, nobody can send a request to an upstream
  /// before its record has come through.
  Duration start_period = std::chrono::seconds(2);
  Duration start_gossip_interval = std::chrono::milliseconds(50);
  Duration start_compare_interval = std::chrono::milliseconds(400);
  /// Shortest time between updates of this daemon's version in use. Versions
  /// must be in force within 12 s, and lagging daemons must be visible by then.
  Duration version_gossip_interval = std::chrono::seconds(2);
  Duration compare_interval = std::chrono::seconds(5);
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(400);
  /// An instance that stays suspected for this long is declared dead.
  Duration suspicion_timeout = std::chrono::seconds(3);
  /// A relay reports a failure domain unreachable after this time without a
  /// probe answer from it.
  Duration domain_timeout = std::chrono::seconds(4);
  Duration announcement_lease = std::chrono::seconds(5);
  /// How long records of instances that are dead or have left, and those of
  /// unreachable failure domains, are kept.
  Duration retention = std::chrono::minutes(10);
};

/// Recently changed records. For a comparison of tables it also carries the
/// digests of the sender's table; the receiver answers with its own records
/// from the buckets that differ.
struct GossipMessage {
  std::vector<InstanceRecord> records;
  std::vector<Digest> bucket_digests;

  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

struct ProbeMessage {
  uint64_t sequence = 0;
  std::string instance;  ///< The sender; empty from an earlier release.

  friend bool operator==(const ProbeMessage&, const ProbeMessage&) = default;
};

struct ProbeAckMessage {
  uint64_t sequence = 0;
  std::string instance;

  friend bool operator==(const ProbeAckMessage&,
                         const ProbeAckMessage&) = default;
};

/// Asks a peer to probe another peer on the sender's behalf.
struct IndirectProbeMessage {
  uint64_t sequence = 0;  ///< Of the sender's own probe.
  std::string target_instance;
  std::string target_address;
  std::string asker_address;

  friend bool operator==(const IndirectProbeMessage&,
                         const IndirectProbeMessage&) = default;
};

using MembershipMessage = std::variant<GossipMessage, ProbeMessage,
                                       ProbeAckMessage, IndirectProbeMessage>;

struct MembershipSend {
  std::string address;
  MembershipMessage message;

  friend bool operator==(const MembershipSend&,
                         const MembershipSend&) = default;
};

struct MembershipEffects {
  std::vector<MembershipSend> send;
  /// Whether Records(), Peers() or LocalUpstream() may have changed. Not set
  /// when only versions in use differ.
  bool changed = false;
};

/// One daemon's view of the instances in the mesh and their upstreams, kept up
/// to date by gossip and probes. Deterministic: time, messages and
/// announcements are passed in.
class Membership {
 public:
  virtual ~Membership() = default;

  virtual MembershipEffects OnTick(Instant now) = 0;

  /// @param from control address that answers are sent to.
  virtual MembershipEffects OnMessage(const std::string& from,
                                      const MembershipMessage& message,
                                      Instant now) = 0;

  /// Handles an announcement or renewal of the upstream beside this daemon.
  /// Ignores one of an earlier upstream incarnation, and one older than the
  /// last announcement of the same incarnation.
  virtual MembershipEffects OnAnnounce(const UpstreamAnnouncement& upstream,
                                       Instant now) = 0;

  /// Counts the local upstream as draining, as it no longer accepts
  /// connections, until it announces itself again. Doesn't renew its lease, and
  /// does nothing when that upstream incarnation isn't registered.
  virtual MembershipEffects OnUpstreamDown(const std::string& id,
                                           int64_t started_at_ms,
                                           Instant now) = 0;

  /// Removes the local upstream, which has deregistered or whose lease has
  /// expired. Does not remove another upstream incarnation that has replaced
  /// it. Announcements of the one that left are ignored from then on.
  /// @param id of the upstream incarnation; empty matches any.
  /// @param started_at_ms start time of that incarnation; 0 matches any.
  virtual MembershipEffects OnUpstreamLeft(const std::string& id,
                                           int64_t started_at_ms,
                                           Instant now) = 0;

  /// Takes in the leaves that the replicas have recorded for this daemon, which
  /// its earlier processes acknowledged. Removes the local upstream when it has
  /// registered by an announcement from before its leave.
  virtual MembershipEffects OnLeavesRead(std::vector<UpstreamLeave> leaves,
                                         Instant now) = 0;

  /// @return why OnAnnounce() would ignore an announcement; nullopt when it
  /// would not.
  virtual std::optional<IgnoredReason> WhyIgnored(
      const UpstreamAnnouncement& upstream, Instant now) const = 0;

  /// Sets the version in use that this daemon gossips in its record.
  virtual void SetVersionInUse(uint64_t number, Digest digest, Instant now) = 0;

  /// Replaces the control addresses of the seeds.
  virtual void SetSeeds(std::vector<std::string> seeds) = 0;

  /// Marks this daemon as left and sends that to peers.
  virtual MembershipEffects Leave(Instant now) = 0;

  /// @return all records, this daemon's own included. Records of alive
  /// instances in an unreachable failure domain are returned as suspected.
  virtual std::vector<InstanceRecord> Records() const = 0;

  /// @return the peers this daemon exchanges messages with: a bounded number
  /// in its own failure domain and, when it is a relay, the relays of others.
  virtual std::vector<InstanceRecord> Peers() const = 0;

  /// @return names of the relays of this daemon's failure domain.
  virtual std::vector<std::string> Relays() const = 0;

  /// @return the last announcement of the local upstream, while its lease runs.
  virtual std::optional<UpstreamAnnouncement> LocalUpstream() const = 0;

  /// @return whether at least one relay of this daemon's failure domain reaches
  /// the given one. Instances of an unreachable domain are not declared dead.
  virtual bool DomainReachable(const std::string& failure_domain) const = 0;
};

std::unique_ptr<Membership> MakeMembership(MembershipConfig config,
                                           uint64_t seed, Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_MEMBERSHIP_H_
