#include "membership/membership.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "membership/internal/domain_watch.h"
#include "membership/internal/failure_detector.h"
#include "membership/internal/gossip_targets.h"
#include "membership/internal/hearing.h"
#include "membership/internal/passed_on_records.h"
#include "membership/internal/peer_view.h"
#include "membership/internal/record_table.h"
#include "membership/internal/silent_instances.h"
#include "membership/internal/suspicion_timers.h"
#include "membership/internal/update_queue.h"
#include "membership/internal/upstream_registration.h"

namespace hibiscusglade {
namespace {

class MembershipImpl : public Membership {
 public:
  MembershipImpl(MembershipConfig config, uint64_t seed, Instant now)
      : config_(std::move(config)),
        self_(config_.self),
        random_(seed),
        detector_(config_, random_),
        domains_(config_, table_, view_),
        targets_(config_, table_, view_, random_),
        upstream_(config_),
        hearing_(config_),
        start_ends_(now + config_.start_period),
        next_gossip_(now),
        next_compare_(now),
        next_probe_(now) {
    table_.Put(self_, now);
    updates_.Add(self_.instance);
  }

  MembershipEffects OnTick(Instant now) override {
    MembershipEffects effects;
    if (upstream_.Expire(now)) PublishUpstream(now, effects);
    if (table_.RemoveExpired(now, config_.retention)) {
      RebuildView(effects);
      passed_on_.Retain(table_);
    }
    detector_.OnTick(now, effects);
    HandleUnresponsive(now, effects);
    ExpireSuspicions(now, effects);
    UpdateUnreachableDomains(now, effects);
    ForgetExpiredDomains(now, effects);
    effects.changed |= domains_.TakeChanged();
    if (now >= next_probe_) SendProbes(now, effects);
    GossipVersionInUse(now);
    if (now >= next_gossip_) SendUpdates(now, effects);
    if (now >= next_compare_) SendComparison(now, effects);
    return effects;
  }

  MembershipEffects OnMessage(const std::string& from,
                              const MembershipMessage& message,
                              Instant now) override {
    MembershipEffects effects;
    hearing_.OnMessage(now);
    if (const auto* gossip = std::get_if<GossipMessage>(&message)) {
      OnGossip(from, *gossip, now, effects);
    } else if (const auto* probe = std::get_if<ProbeMessage>(&message)) {
      OnProbe(from, *probe, now, effects);
    } else if (const auto* ack = std::get_if<ProbeAckMessage>(&message)) {
      OnHeard(ack->instance, now, effects);
      OnAnswerFrom(ack->instance, now);
      detector_.OnAck(*ack, effects);
    } else if (const auto* indirect =
                   std::get_if<IndirectProbeMessage>(&message)) {
      detector_.OnIndirectProbe(*indirect, now, effects);
    }
    return effects;
  }

  MembershipEffects OnAnnounce(const UpstreamAnnouncement& upstream,
                               Instant now) override {
    return PublishIf(upstream_.Announce(upstream, now), now);
  }

  MembershipEffects OnUpstreamDown(const std::string& id, int64_t started_at_ms,
                                   Instant now) override {
    return PublishIf(upstream_.MarkDown(id, started_at_ms), now);
  }

  MembershipEffects OnUpstreamLeft(const std::string& id, int64_t started_at_ms,
                                   Instant now) override {
    return PublishIf(upstream_.Leave(id, started_at_ms, now), now);
  }

  MembershipEffects OnLeavesRead(std::vector<UpstreamLeave> leaves,
                                 Instant now) override {
    return PublishIf(upstream_.AdoptRecorded(std::move(leaves), now), now);
  }

  std::optional<IgnoredReason> WhyIgnored(const UpstreamAnnouncement& upstream,
                                          Instant now) const override {
    return upstream_.WhyIgnored(upstream, now);
  }

  void SetVersionInUse(uint64_t number, Digest digest, Instant now) override {
    self_.version_in_use = number;
    self_.version_digest = digest;
    version_pending_ = true;
    GossipVersionInUse(now);
  }

  void SetSeeds(std::vector<std::string> seeds) override {
    config_.seeds = std::move(seeds);
  }

  MembershipEffects Leave(Instant now) override {
    MembershipEffects effects;
    self_.state = InstanceState::kLeft;
    next_compare_ = now;
    PublishOwnRecord(now, effects);
    SendUpdates(now, effects);
    return effects;
  }

  std::vector<InstanceRecord> Records() const override {
    const std::vector<std::string> unreachable = domains_.Unreachable();
    std::vector<InstanceRecord> records;
    for (const auto& [instance, stored] : table_.All()) {
      records.push_back(stored.record);
      if (records.back().state == InstanceState::kAlive &&
          std::binary_search(unreachable.begin(), unreachable.end(),
                             stored.record.failure_domain)) {
        records.back().state = InstanceState::kSuspected;
      }
    }
    return records;
  }

  std::vector<InstanceRecord> Peers() const override {
    std::vector<InstanceRecord> peers;
    for (const std::string& instance : AllPeers(view_)) {
      peers.push_back(table_.Find(instance)->record);
    }
    return peers;
  }

  std::vector<std::string> Relays() const override {
    return view_.own_domain_relays;
  }

  std::optional<UpstreamAnnouncement> LocalUpstream() const override {
    return upstream_.Current();
  }

  bool DomainReachable(const std::string& failure_domain) const override {
    return domains_.Reachable(failure_domain);
  }

 private:
  /// Gossips the version in use, at a limited rate: with a burst of versions,
  /// every daemon's record would otherwise cross every link once per version.
  void GossipVersionInUse(Instant now) {
    if (!version_pending_ || now < next_version_gossip_) return;
    version_pending_ = false;
    next_version_gossip_ = now + config_.version_gossip_interval;
    MembershipEffects effects;
    PublishOwnRecord(now, effects);
  }

  MembershipEffects PublishIf(bool upstream_changed, Instant now) {
    MembershipEffects effects;
    if (upstream_changed) PublishUpstream(now, effects);
    return effects;
  }

  void PublishUpstream(Instant now, MembershipEffects& effects) {
    upstream_.Describe(self_);
    PublishOwnRecord(now, effects);
    if (self_.upstream_state == UpstreamState::kNone ||
        self_.upstream_state == UpstreamState::kDraining) {
      SendOwnRecord(effects);
    }
  }

  void PublishOwnRecord(Instant now, MembershipEffects& effects) {
    ++self_.sequence;
    own_record_missed_ = !silent_.Empty();
    StoreRecord(self_, now, effects);
    // The record may be unchanged although the upstream's address has changed,
    // which is not part of it.
    effects.changed = true;
    next_gossip_ = now;
  }

  /// Puts a record into the table and queues it for gossip.
  void StoreRecord(const InstanceRecord& record, Instant now,
                   MembershipEffects& effects) {
    const auto* stored = table_.Find(record.instance);
    const bool state_changed =
        stored == nullptr || stored->record.state != record.state;
    const bool restarted =
        stored != nullptr && stored->record.incarnation != record.incarnation;
    const bool returns =
        (restarted || record.state > InstanceState::kSuspected) &&
        silent_.Remove(record.instance);
    effects.changed |=
        stored == nullptr || !DifferOnlyInVersion(stored->record, record);
    table_.Put(record, now);
    updates_.Add(record.instance);
    domains_.OnRecord(record.failure_domain, now);
    suspicions_.OnRecord(record, now);
    if (state_changed || returns) RebuildView(effects);
  }

  void RebuildView(MembershipEffects& effects) {
    effects.changed = true;
    std::vector<const InstanceRecord*> records;
    for (const auto& [instance, stored] : table_.All()) {
      records.push_back(&stored.record);
    }
    const bool stood_in = view_.stands_in;
    view_ = MakePeerView(records, self_, silent_.All());
    // Nobody in other domains knows that this daemon stands in.
    if (view_.stands_in && !stood_in) next_compare_ = Instant{};
  }

  void OnGossip(const std::string& from, const GossipMessage& gossip,
                Instant now, MembershipEffects& effects) {
    GossipMessage answer;
    for (const InstanceRecord& record : gossip.records) {
      Merge(record, now, answer, effects);
    }
    if (!gossip.bucket_digests.empty()) {
      for (InstanceRecord& record : table_.Differing(gossip.bucket_digests)) {
        answer.records.push_back(std::move(record));
      }
    }
    if (!answer.records.empty()) {
      effects.send.push_back({from, std::move(answer)});
    }
  }

  /// @param answer receives the stored record when it is newer than the
  /// sender's and its instance is not alive or the sender's is of another
  /// process, or when the instance has been restarted and may have forgotten
  /// that its upstream leaves.
  void Merge(const InstanceRecord& record, Instant now, GossipMessage& answer,
             MembershipEffects& effects) {
    if (record.instance == self_.instance) {
      MergeOwnRecord(record, now, effects);
      return;
    }
    const auto* stored = table_.Find(record.instance);
    if (stored == nullptr || Supersedes(record, stored->record)) {
      if (stored != nullptr && IsEarlierLeave(stored->record, record) &&
          passed_on_.Add(stored->record, record.incarnation)) {
        answer.records.push_back(stored->record);
      }
      StoreRecord(record, now, effects);
      return;
    }
    if (!Supersedes(stored->record, record)) return;
    if (stored->record.state != InstanceState::kAlive ||
        stored->record.incarnation > record.incarnation) {
      answer.records.push_back(stored->record);
    }
    // The answer of a daemon that learned of the restart from this one.
    if (IsEarlierLeave(record, stored->record) &&
        passed_on_.Add(record, stored->record.incarnation)) {
      effects.send.push_back(
          {stored->record.control_address, GossipMessage{{record}, {}}});
    }
  }

  /// Handles a record of this instance that a peer has: one of an earlier
  /// process, or one that a peer has declared suspected or dead.
  void MergeOwnRecord(const InstanceRecord& record, Instant now,
                      MembershipEffects& effects) {
    if (record.incarnation != self_.incarnation) {
      const bool overtakes = MustOvertake(self_, record);
      if (overtakes) self_.incarnation = record.incarnation + 1;
      if (upstream_.ContinueFrom(record, now) || overtakes) {
        PublishUpstream(now, effects);
      }
      return;
    }
    if (!Supersedes(record, self_) || self_.state == InstanceState::kLeft) {
      return;
    }
    self_.sequence = record.sequence;
    PublishOwnRecord(now, effects);
  }

  void OnAnswerFrom(const std::string& instance, Instant now) {
    const auto* stored = table_.Find(instance);
    if (stored == nullptr) return;
    domains_.OnAnswer(stored->record.failure_domain, now);
  }

  /// Answers a probe. A sender that isn't alive by its record here is sent that
  /// record too, to refute it.
  void OnProbe(const std::string& from, const ProbeMessage& probe, Instant now,
               MembershipEffects& effects) {
    OnHeard(probe.instance, now, effects);
    effects.send.push_back(
        {from, ProbeAckMessage{probe.sequence, self_.instance}});
    const auto* stored = table_.Find(probe.instance);
    if (stored == nullptr || stored->record.state == InstanceState::kAlive) {
      return;
    }
    effects.send.push_back({from, GossipMessage{{stored->record}, {}}});
  }

  /// @param instance the sender of a message, or the one that a helper reached.
  void OnHeard(const std::string& instance, Instant now,
               MembershipEffects& effects) {
    const auto* stored = table_.Find(instance);
    if (stored != nullptr &&
        stored->record.failure_domain == self_.failure_domain) {
      hearing_.OnOwnDomain(now);
    }
    if (!silent_.Remove(instance)) return;
    RebuildView(effects);
    if (std::exchange(own_record_missed_, false)) updates_.Add(self_.instance);
  }

  /// Leaves unresponsive instances out of the view, and marks them as
  /// suspected. While nobody of the own domain is heard, probes all peers at
  /// once, to find somebody who answers.
  void HandleUnresponsive(Instant now, MembershipEffects& effects) {
    std::vector<std::string> peers = view_.own_domain_peers;
    bool any_added = false;
    for (const std::string& instance : detector_.TakeUnresponsive()) {
      const auto* stored = table_.Find(instance);
      if (stored == nullptr ||
          stored->record.state > InstanceState::kSuspected ||
          stored->record.failure_domain != self_.failure_domain) {
        continue;
      }
      any_added |= silent_.Add(instance);
      if (stored->record.state != InstanceState::kAlive ||
          !hearing_.MayAccuse(view_.stands_in, now)) {
        continue;
      }
      InstanceRecord suspected = stored->record;
      suspected.state = InstanceState::kSuspected;
      StoreRecord(suspected, now, effects);
    }
    if (!any_added) return;
    RebuildView(effects);
    if (hearing_.HearsOwnDomain(now)) return;
    peers.insert(peers.end(), view_.own_domain_peers.begin(),
                 view_.own_domain_peers.end());
    for (const std::string& peer : peers) {
      if (!detector_.IsProbing(peer)) ProbeOwnDomain(peer, now, effects);
    }
  }

  void ExpireSuspicions(Instant now, MembershipEffects& effects) {
    if (!hearing_.MayAccuse(view_.stands_in, now)) return;
    for (const std::string& instance :
         suspicions_.Expired(now, config_.suspicion_timeout)) {
      InstanceRecord record = table_.Find(instance)->record;
      if (record.failure_domain != self_.failure_domain) continue;
      record.state = InstanceState::kDead;
      StoreRecord(record, now, effects);
    }
  }

  /// At a relay, lists the failure domains that do not answer probes in its own
  /// record, for the other daemons of its domain.
  void UpdateUnreachableDomains(Instant now, MembershipEffects& effects) {
    std::vector<std::string> unreachable = domains_.SilentToRelay(now);
    if (unreachable == self_.unreachable_domains) return;
    self_.unreachable_domains = std::move(unreachable);
    PublishOwnRecord(now, effects);
  }

  void ForgetExpiredDomains(Instant now, MembershipEffects& effects) {
    for (const std::string& domain : domains_.TakeExpired(now)) {
      table_.RemoveDomain(domain);
      suspicions_.Retain(table_);
      RebuildView(effects);
    }
  }

  void SendProbes(Instant now, MembershipEffects& effects) {
    next_probe_ = now + random_.Jittered(config_.probe_interval);
    if (!view_.own_domain_peers.empty()) {
      ProbeOwnDomain(view_.own_domain_peers[next_probe_index_++ %
                                            view_.own_domain_peers.size()],
                     now, effects);
    }
    for (const std::string& instance : silent_.NextToProbe()) {
      if (!detector_.IsProbing(instance)) {
        ProbeOwnDomain(instance, now, effects);
      }
    }
    for (const auto& [domain, relays] : view_.other_domain_relays) {
      detector_.Probe(targets_.Of(relays[random_.Below(relays.size())]), {},
                      now, effects);
    }
  }

  void ProbeOwnDomain(const std::string& instance, Instant now,
                      MembershipEffects& effects) {
    std::vector<ProbeTarget> helpers;
    for (const std::string& other : view_.own_domain_peers) {
      if (other != instance) helpers.push_back(targets_.Of(other));
    }
    detector_.Probe(targets_.Of(instance), std::move(helpers), now, effects);
  }

  void SendUpdates(Instant now, MembershipEffects& effects) {
    next_gossip_ =
        now + random_.Jittered(now < start_ends_ ? config_.start_gossip_interval
                                                 : config_.gossip_interval);
    if (updates_.Empty()) return;
    const std::vector<std::string> targets = targets_.ForUpdates();
    if (targets.empty()) return;
    const UpdateQueue::Round round =
        updates_.Take(table_, self_.failure_domain);
    for (const std::string& address : targets) {
      effects.send.push_back({address, round.own_domain});
    }
    if (round.other_domains.records.empty()) return;
    for (const std::string& address : targets_.InOtherDomains()) {
      effects.send.push_back({address, round.other_domains});
    }
  }

  /// Tells of a drain or leave, which is acknowledged after this step, without
  /// waiting for the next round of gossip. This daemon's next process learns it
  /// from peers only.
  void SendOwnRecord(MembershipEffects& effects) {
    std::vector<std::string> addresses = targets_.ForUpdates();
    for (std::string& address : targets_.InOtherDomains()) {
      addresses.push_back(std::move(address));
    }
    for (const std::string& address : addresses) {
      effects.send.push_back({address, GossipMessage{{self_}, {}}});
    }
  }

  Duration ComparisonInterval(Instant now) const {
    // Nobody sends updates to a daemon that leaves, and it still routes by
    // them.
    const bool alone =
        table_.All().size() == 1 || self_.state == InstanceState::kLeft;
    if (alone) return config_.gossip_interval;
    if (now < start_ends_) return config_.start_compare_interval;
    return view_.stands_in ? config_.probe_interval : config_.compare_interval;
  }

  /// Starts a comparison of tables with one peer or seed.
  void SendComparison(Instant now, MembershipEffects& effects) {
    next_compare_ = now + random_.Jittered(ComparisonInterval(now));
    const std::string address = targets_.ForComparison();
    if (address.empty()) return;
    effects.send.push_back(
        {address, {GossipMessage{{self_}, table_.BucketDigests()}}});
  }

  MembershipConfig config_;
  InstanceRecord self_;
  Random random_;
  RecordTable table_;
  PassedOnRecords passed_on_;
  PeerView view_;
  FailureDetector detector_;
  DomainWatch domains_;
  GossipTargets targets_;
  UpstreamRegistration upstream_;
  Hearing hearing_;
  Instant start_ends_;
  UpdateQueue updates_;
  SuspicionTimers suspicions_;
  SilentInstances silent_;
  bool own_record_missed_ = false;  ///< By the silent ones.
  bool version_pending_ = false;
  Instant next_version_gossip_;
  Instant next_gossip_;
  Instant next_compare_;
  Instant next_probe_;
  size_t next_probe_index_ = 0;
};

}  // namespace

std::unique_ptr<Membership> MakeMembership(MembershipConfig config,
                                           uint64_t seed, Instant now) {
  return std::make_unique<MembershipImpl>(std::move(config), seed, now);
}

}  // namespace hibiscusglade
