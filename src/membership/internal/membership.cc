#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/random.h"
#include "membership/internal/failure_detector.h"
#include "membership/internal/passed_on_records.h"
#include "membership/internal/peer_view.h"
#include "membership/internal/record_table.h"
#include "membership/internal/upstream_registration.h"

namespace hibiscusglade {
namespace {

constexpr size_t kGossipFanout = 3;
constexpr size_t kGossipRoundsPerUpdate = 3;
constexpr size_t kMaxRecordsPerMessage = 100;
/// One comparison in four goes to a seed.
constexpr uint64_t kComparisonsPerSeedComparison = 4;

class MembershipImpl : public Membership {
 public:
  MembershipImpl(MembershipConfig config, uint64_t seed, Instant now)
      : config_(std::move(config)),
        self_(config_.self),
        random_(seed),
        detector_(config_, random_),
        upstream_(config_),
        next_gossip_(now),
        next_compare_(now),
        next_probe_(now) {
    table_.Put(self_, now);
    pending_updates_[self_.instance] = kGossipRoundsPerUpdate;
  }

  MembershipEffects OnTick(Instant now) override {
    MembershipEffects effects;
    if (upstream_.Expire(now)) PublishUpstream(now, effects);
    if (table_.RemoveExpired(now, config_.retention)) {
      RebuildView(effects);
      passed_on_.Retain(table_);
    }
    detector_.OnTick(now, effects);
    SuspectUnresponsive(now, effects);
    ExpireSuspicions(now, effects);
    UpdateUnreachableDomains(now, effects);
    if (now >= next_domain_expiry_) ExpireUnreachableDomains(now, effects);
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
    last_message_at_ = now;
    if (const auto* gossip = std::get_if<GossipMessage>(&message)) {
      OnGossip(from, *gossip, now, effects);
    } else if (const auto* probe = std::get_if<ProbeMessage>(&message)) {
      effects.send.push_back(
          {from, ProbeAckMessage{probe->sequence, self_.instance}});
    } else if (const auto* ack = std::get_if<ProbeAckMessage>(&message)) {
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
    MembershipEffects effects;
    if (upstream_.Announce(upstream, now)) PublishUpstream(now, effects);
    return effects;
  }

  MembershipEffects OnUpstreamDown(const std::string& id, int64_t started_at_ms,
                                   Instant now) override {
    MembershipEffects effects;
    if (upstream_.MarkDown(id, started_at_ms)) PublishUpstream(now, effects);
    return effects;
  }

  MembershipEffects OnUpstreamLeft(const std::string& id, int64_t started_at_ms,
                                   Instant now) override {
    MembershipEffects effects;
    if (upstream_.Leave(id, started_at_ms, now)) PublishUpstream(now, effects);
    return effects;
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
    PublishOwnRecord(now, effects);
    SendUpdates(now, effects);
    return effects;
  }

  std::vector<InstanceRecord> Records() const override {
    std::set<std::string> unreachable;
    for (const auto& [domain, seen] : domain_seen_at_) {
      if (!DomainReachable(domain)) unreachable.insert(domain);
    }
    std::vector<InstanceRecord> records;
    for (const auto& [instance, stored] : table_.All()) {
      records.push_back(stored.record);
      if (records.back().state == InstanceState::kAlive &&
          unreachable.contains(stored.record.failure_domain)) {
        records.back().state = InstanceState::kSuspected;
      }
    }
    return records;
  }

  std::vector<InstanceRecord> Peers() const override {
    std::vector<InstanceRecord> peers;
    for (const std::string& instance : view_.own_domain_peers) {
      peers.push_back(table_.Find(instance)->record);
    }
    for (const auto& [domain, relays] : view_.other_domain_relays) {
      for (const std::string& relay : relays) {
        peers.push_back(table_.Find(relay)->record);
      }
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
    if (failure_domain == self_.failure_domain) return true;
    if (!domain_seen_at_.contains(failure_domain)) return false;
    return std::any_of(
        view_.own_domain_relays.begin(), view_.own_domain_relays.end(),
        [&](const std::string& relay) {
          const auto* stored = table_.Find(relay);
          return stored != nullptr &&
                 !std::binary_search(stored->record.unreachable_domains.begin(),
                                     stored->record.unreachable_domains.end(),
                                     failure_domain);
        });
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

  void PublishUpstream(Instant now, MembershipEffects& effects) {
    upstream_.Describe(self_);
    PublishOwnRecord(now, effects);
  }

  void PublishOwnRecord(Instant now, MembershipEffects& effects) {
    ++self_.sequence;
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
    effects.changed |=
        stored == nullptr || !DifferOnlyInVersion(stored->record, record);
    table_.Put(record, now);
    pending_updates_[record.instance] = kGossipRoundsPerUpdate;
    domain_seen_at_.emplace(record.failure_domain, now);
    if (record.state == InstanceState::kSuspected) {
      suspected_since_.emplace(record.instance, now);
    } else {
      suspected_since_.erase(record.instance);
    }
    if (state_changed) RebuildView(effects);
  }

  void RebuildView(MembershipEffects& effects) {
    effects.changed = true;
    std::vector<const InstanceRecord*> records;
    for (const auto& [instance, stored] : table_.All()) {
      records.push_back(&stored.record);
    }
    view_ = MakePeerView(records, self_);
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
  /// sender's and its instance is not alive, or when the instance has been
  /// restarted and may have forgotten that its upstream leaves.
  void Merge(const InstanceRecord& record, Instant now, GossipMessage& answer,
             MembershipEffects& effects) {
    if (record.instance == self_.instance) {
      if (record.incarnation < self_.incarnation) {
        if (upstream_.ContinueFrom(record, now)) PublishUpstream(now, effects);
      } else {
        RefuteIfSuperseded(record, now, effects);
      }
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
    if (stored->record.state != InstanceState::kAlive) {
      answer.records.push_back(stored->record);
    }
    // The answer of a daemon that learned of the restart from this one.
    if (IsEarlierLeave(record, stored->record) &&
        passed_on_.Add(record, stored->record.incarnation)) {
      effects.send.push_back(
          {stored->record.control_address, GossipMessage{{record}, {}}});
    }
  }

  void RefuteIfSuperseded(const InstanceRecord& record, Instant now,
                          MembershipEffects& effects) {
    if (record.incarnation != self_.incarnation || !Supersedes(record, self_) ||
        self_.state == InstanceState::kLeft) {
      return;
    }
    self_.sequence = record.sequence;
    PublishOwnRecord(now, effects);
  }

  void OnAnswerFrom(const std::string& instance, Instant now) {
    const auto* stored = table_.Find(instance);
    if (stored != nullptr) domain_seen_at_[stored->record.failure_domain] = now;
  }

  /// Marks unresponsive instances as suspected. Suspects none while no messages
  /// arrive at all, because the fault is then most likely at this daemon.
  void SuspectUnresponsive(Instant now, MembershipEffects& effects) {
    for (const std::string& instance : detector_.TakeUnresponsive()) {
      const auto* stored = table_.Find(instance);
      if (stored == nullptr || stored->record.state != InstanceState::kAlive ||
          stored->record.failure_domain != self_.failure_domain ||
          now - last_message_at_ > config_.probe_interval) {
        continue;
      }
      InstanceRecord suspected = stored->record;
      suspected.state = InstanceState::kSuspected;
      StoreRecord(suspected, now, effects);
    }
  }

  void ExpireSuspicions(Instant now, MembershipEffects& effects) {
    std::vector<InstanceRecord> expired;
    for (const auto& [instance, since] : suspected_since_) {
      const InstanceRecord& record = table_.Find(instance)->record;
      if (now - since > config_.suspicion_timeout &&
          now - last_message_at_ <= config_.probe_interval &&
          record.failure_domain == self_.failure_domain) {
        expired.push_back(record);
      }
    }
    for (InstanceRecord& record : expired) {
      record.state = InstanceState::kDead;
      StoreRecord(record, now, effects);
    }
  }

  /// At a relay, lists the failure domains that do not answer probes in its own
  /// record, for the other daemons of its domain.
  void UpdateUnreachableDomains(Instant now, MembershipEffects& effects) {
    if (view_.is_relay && !was_relay_) {
      // Restart the timeouts: a daemon that is no relay does not probe other
      // domains, so the times are out of date.
      for (auto& [domain, seen] : domain_seen_at_) seen = now;
    }
    was_relay_ = view_.is_relay;
    std::vector<std::string> unreachable;
    for (const auto& [domain, relays] : view_.other_domain_relays) {
      auto [seen, added] = domain_seen_at_.emplace(domain, now);
      if (now - seen->second > config_.domain_timeout) {
        unreachable.push_back(domain);
      }
    }
    if (unreachable == self_.unreachable_domains) return;
    self_.unreachable_domains = std::move(unreachable);
    PublishOwnRecord(now, effects);
  }

  void ExpireUnreachableDomains(Instant now, MembershipEffects& effects) {
    next_domain_expiry_ = now + config_.probe_interval;
    for (auto seen = domain_seen_at_.begin(); seen != domain_seen_at_.end();) {
      const std::string& domain = seen->first;
      if (DomainReachable(domain)) {
        unreachable_since_.erase(domain);
        ++seen;
        continue;
      }
      const Instant since =
          unreachable_since_.emplace(domain, now).first->second;
      if (now - since <= config_.retention) {
        ++seen;
        continue;
      }
      table_.RemoveDomain(domain);
      std::erase_if(suspected_since_, [this](const auto& item) {
        return table_.Find(item.first) == nullptr;
      });
      RebuildView(effects);
      unreachable_since_.erase(domain);
      seen = domain_seen_at_.erase(seen);
    }
  }

  void SendProbes(Instant now, MembershipEffects& effects) {
    next_probe_ = now + Jittered(config_.probe_interval);
    if (!view_.own_domain_peers.empty()) {
      const std::string& chosen =
          view_.own_domain_peers[next_probe_index_++ %
                                 view_.own_domain_peers.size()];
      std::vector<ProbeTarget> helpers;
      for (const std::string& other : view_.own_domain_peers) {
        if (other != chosen) helpers.push_back(TargetOf(other));
      }
      detector_.Probe(TargetOf(chosen), std::move(helpers), now, effects);
    }
    for (const auto& [domain, relays] : view_.other_domain_relays) {
      detector_.Probe(TargetOf(relays[random_.Below(relays.size())]), {}, now,
                      effects);
    }
  }

  void SendUpdates(Instant now, MembershipEffects& effects) {
    next_gossip_ = now + Jittered(config_.gossip_interval);
    if (pending_updates_.empty()) return;
    GossipMessage local;
    GossipMessage remote;
    for (bool urgent : {true, false}) {
      for (const auto& [instance, rounds] : pending_updates_) {
        const auto* stored = table_.Find(instance);
        if (stored == nullptr || IsUrgent(stored->record) != urgent ||
            local.records.size() >= kMaxRecordsPerMessage) {
          continue;
        }
        local.records.push_back(stored->record);
        if (stored->record.failure_domain == self_.failure_domain &&
            rounds == kGossipRoundsPerUpdate) {
          remote.records.push_back(stored->record);
        }
      }
    }
    const std::vector<std::string> targets = ChooseGossipTargets();
    if (targets.empty()) return;
    for (const std::string& address : targets) {
      effects.send.push_back({address, local});
    }
    if (!remote.records.empty()) SendToOtherDomains(remote, effects);
    for (const InstanceRecord& sent : local.records) {
      auto found = pending_updates_.find(sent.instance);
      if (--found->second == 0) pending_updates_.erase(found);
    }
    std::erase_if(pending_updates_, [this](const auto& item) {
      return table_.Find(item.first) == nullptr;
    });
  }

  std::vector<std::string> ChooseGossipTargets() {
    std::vector<std::string> candidates = view_.own_domain_peers;
    std::vector<std::string> targets;
    while (targets.size() < kGossipFanout && !candidates.empty()) {
      const size_t chosen = random_.Below(candidates.size());
      targets.push_back(TargetOf(candidates[chosen]).address);
      candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(chosen));
    }
    if (targets.empty() && view_.other_domain_relays.empty()) {
      const std::string seed = RandomSeed();
      if (!seed.empty()) targets.push_back(seed);
    }
    if (targets.empty() && !view_.other_domain_relays.empty()) {
      const auto& relays = view_.other_domain_relays.begin()->second;
      targets.push_back(TargetOf(relays.front()).address);
    }
    return targets;
  }

  void SendToOtherDomains(const GossipMessage& message,
                          MembershipEffects& effects) {
    for (const auto& [domain, relays] : view_.other_domain_relays) {
      const std::string& chosen = relays[random_.Below(relays.size())];
      effects.send.push_back({TargetOf(chosen).address, message});
    }
  }

  /// Starts a comparison of tables with one peer, or sometimes with a seed, so
  /// that groups of daemons that no longer know each other are joined again.
  void SendComparison(Instant now, MembershipEffects& effects) {
    const bool alone = table_.All().size() == 1;
    next_compare_ = now + Jittered(alone ? config_.gossip_interval
                                         : config_.compare_interval);
    std::vector<InstanceRecord> peers = Peers();
    std::string address;
    if (peers.empty() || random_.Below(kComparisonsPerSeedComparison) == 0) {
      address = RandomSeed();
    } else {
      address = peers[random_.Below(peers.size())].control_address;
    }
    if (address.empty()) return;
    effects.send.push_back(
        {address, {GossipMessage{{self_}, table_.BucketDigests()}}});
  }

  std::string RandomSeed() {
    std::vector<std::string> seeds = config_.seeds;
    std::erase(seeds, self_.control_address);
    return seeds.empty() ? "" : seeds[random_.Below(seeds.size())];
  }

  ProbeTarget TargetOf(const std::string& instance) const {
    return {instance, table_.Find(instance)->record.control_address};
  }

  /// @return a random duration between 0.5 and 1.5 times the interval.
  Duration Jittered(Duration interval) {
    const auto length = static_cast<uint64_t>(interval.count());
    return Duration(static_cast<int64_t>(length / 2 + random_.Below(length)));
  }

  MembershipConfig config_;
  InstanceRecord self_;
  Random random_;
  RecordTable table_;
  PassedOnRecords passed_on_;
  PeerView view_;
  FailureDetector detector_;
  UpstreamRegistration upstream_;
  /// Remaining gossip rounds for each instance with a changed record.
  std::map<std::string, size_t> pending_updates_;
  std::map<std::string, Instant> suspected_since_;
  std::map<std::string, Instant> domain_seen_at_;
  std::map<std::string, Instant> unreachable_since_;
  Instant next_domain_expiry_;
  Instant last_message_at_;
  bool version_pending_ = false;
  Instant next_version_gossip_;
  Instant next_gossip_;
  Instant next_compare_;
  Instant next_probe_;
  size_t next_probe_index_ = 0;
  bool was_relay_ = false;
};

}  // namespace

std::unique_ptr<Membership> MakeMembership(MembershipConfig config,
                                           uint64_t seed, Instant now) {
  return std::make_unique<MembershipImpl>(std::move(config), seed, now);
}

}  // namespace hibiscusglade
