#ifndef HIBISCUSGLADE_MEMBERSHIP_MEMBERSHIP_H_
#define HIBISCUSGLADE_MEMBERSHIP_MEMBERSHIP_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

struct MembershipConfig {
  InstanceRecord self;             ///< Without an upstream.
  std::vector<std::string> seeds;  ///< Control addresses to start from.
  /// Announcements of another service or address are not this upstream's and
  /// are passed over; empty takes any.
  std::string expected_service;
  std::string expected_address;
  Duration gossip_interval = std::chrono::milliseconds(200);
  /// Between news of this daemon's version in use; versions are to be in force
  /// within 12 s, so that this shows in time who lags.
  Duration version_news_interval = std::chrono::seconds(2);
  Duration compare_interval = std::chrono::seconds(5);
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(400);
  Duration suspicion = std::chrono::seconds(3);
  Duration domain_silence = std::chrono::seconds(4);
  Duration announcement_lease = std::chrono::seconds(5);
  Duration forget_after = std::chrono::minutes(10);
};

/// Records that are news, and in a comparison also the digests of the
/// sender's table; the receiver answers with its records that differ.
struct GossipMessage {
  std::vector<InstanceRecord> records;
  std::vector<Digest> bucket_digests;

  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

struct ProbeMessage {
  uint64_t sequence = 0;

  friend bool operator==(const ProbeMessage&, const ProbeMessage&) = default;
};

struct ProbeAckMessage {
  uint64_t sequence = 0;
  std::string instance;

  friend bool operator==(const ProbeAckMessage&,
                         const ProbeAckMessage&) = default;
};

/// Asks a peer to probe another one.
struct IndirectProbeMessage {
  uint64_t sequence = 0;  ///< Of the asker's own probe.
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
  /// Records() or Peers() differ from before in more than versions in use.
  bool changed = false;
};

/// One daemon's view of who runs, where, and with which upstream.
/// Deterministic: time, messages and announcements are passed in.
class Membership {
 public:
  virtual ~Membership() = default;

  virtual MembershipEffects OnTick(Instant now) = 0;

  /// @param from control address to answer to.
  virtual MembershipEffects OnMessage(const std::string& from,
                                      const MembershipMessage& message,
                                      Instant now) = 0;

  /// Takes an announcement or renewal of the upstream beside this daemon. One
  /// of an earlier start, or older than the last one of this start, is late
  /// and is passed over.
  virtual MembershipEffects OnAnnounce(const UpstreamAnnouncement& upstream,
                                       Instant now) = 0;

  /// The upstream has gone, or its lease has ended.
  /// @param id of the start that has gone; empty for whichever there is. One
  /// that another start has replaced is passed over.
  /// @param born_ms of that start; 0 when it is not told.
  virtual MembershipEffects OnUpstreamGone(const std::string& id,
                                           int64_t born_ms, Instant now) = 0;

  /// Tells peers which version this daemon has in use.
  virtual void SetVersionInUse(uint64_t number, Digest digest, Instant now) = 0;

  /// Replaces the control addresses to start from.
  virtual void SetSeeds(std::vector<std::string> seeds) = 0;

  /// Tells peers that this daemon leaves on purpose.
  virtual MembershipEffects Leave(Instant now) = 0;

  /// @return all records held, this daemon's own included. Those of a failure
  /// domain that is cut off are suspected.
  virtual std::vector<InstanceRecord> Records() const = 0;

  /// @return the peers this daemon exchanges messages with: a bounded number,
  /// in its own failure domain, and as a relay also in others.
  virtual std::vector<InstanceRecord> Peers() const = 0;

  /// @return the announcement in force of the local upstream, if any.
  virtual std::optional<UpstreamAnnouncement> LocalUpstream() const = 0;

  /// @return whether a relay of this daemon's failure domain reaches another.
  /// A domain that no relay reaches is cut off rather than dead.
  virtual bool DomainReachable(const std::string& failure_domain) const = 0;
};

std::unique_ptr<Membership> MakeMembership(MembershipConfig config,
                                           uint64_t seed, Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_MEMBERSHIP_H_
