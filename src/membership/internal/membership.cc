#include "membership/membership.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "base/random.h"
#include "membership/internal/failure_detector.h"
#include "membership/internal/peer_view.h"
#include "membership/internal/record_table.h"

namespace hibiscusglade {
namespace {

constexpr size_t kGossipFanout = 3;
constexpr size_t kNewsRounds = 3;
constexpr size_t kMaxNewsPerMessage = 100;
constexpr uint64_t kSeedComparisonShare = 4;  ///< One comparison in four.

/// @return whether two records differ in nothing but the version in use.
bool SameButVersion(const InstanceRecord& a, InstanceRecord b) {
  b.sequence = a.sequence;
  b.version_in_use = a.version_in_use;
  b.version_digest = a.version_digest;
  return a == b;
}

class MembershipImpl : public Membership {
 public:
  MembershipImpl(MembershipConfig config, uint64_t seed, Instant now)
      : config_(std::move(config)),
        self_(config_.self),
        random_(seed),
        detector_(config_, random_),
        next_gossip_(now),
        next_compare_(now),
        next_probe_(now) {
    table_.Put(self_, now);
    news_[self_.instance] = kNewsRounds;
  }

  MembershipEffects OnTick(Instant now) override {
    MembershipEffects effects;
    if (upstream_.has_value() && now >= lease_end_) {
      effects = OnUpstreamGone("", 0, now);
    }
    if (table_.Forget(now, config_.forget_after)) ViewChanged(effects);
    detector_.OnTick(now, effects);
    TakeSilent(now, effects);
    EndSuspicions(now, effects);
    WatchDomains(now, effects);
    if (now >= next_expiry_) ExpireCutOffDomains(now, effects);
    if (now >= next_probe_) SendProbes(now, effects);
    TellVersion(now);
    if (now >= next_gossip_) SendNews(now, effects);
    if (now >= next_compare_) SendComparison(now, effects);
    return effects;
  }

  MembershipEffects OnMessage(const std::string& from,
                              const MembershipMessage& message,
                              Instant now) override {
    MembershipEffects effects;
    last_heard_ = now;
    if (const auto* gossip = std::get_if<GossipMessage>(&message)) {
      OnGossip(from, *gossip, now, effects);
    } else if (const auto* probe = std::get_if<ProbeMessage>(&message)) {
      effects.send.push_back(
          {from, ProbeAckMessage{probe->sequence, self_.instance}});
    } else if (const auto* ack = std::get_if<ProbeAckMessage>(&message)) {
      HeardFrom(ack->instance, now);
      detector_.OnAck(*ack, effects);
    } else if (const auto* ask = std::get_if<IndirectProbeMessage>(&message)) {
      detector_.OnIndirectProbe(*ask, now, effects);
    }
    return effects;
  }

  MembershipEffects OnAnnounce(const UpstreamAnnouncement& upstream,
                               Instant now) override {
    MembershipEffects effects;
    if (IsLate(upstream) || IsOthers(upstream)) return effects;
    lease_end_ = now + config_.announcement_lease;
    last_born_ms_ = upstream.born_ms;
    last_id_ = upstream.id;
    last_sequence_ = upstream.sequence;
    const bool renews =
        upstream_.has_value() && SameUpstream(*upstream_, upstream);
    upstream_ = upstream;
    if (renews) return effects;
    self_.service = upstream.service;
    self_.slots = upstream.slots;
    self_.upstream_state = upstream.state;
    OwnChange(now, effects);
    return effects;
  }

  MembershipEffects OnUpstreamGone(const std::string& id, int64_t born_ms,
                                   Instant now) override {
    MembershipEffects effects;
    if (!upstream_.has_value()) return effects;
    if (!id.empty() && id != upstream_->id) return effects;
    if (born_ms != 0 && born_ms != upstream_->born_ms) return effects;
    // Announcements of this start that are still on their way are late.
    if (!id.empty()) last_sequence_ = std::numeric_limits<uint64_t>::max();
    upstream_.reset();
    self_.upstream_state = UpstreamState::kNone;
    OwnChange(now, effects);
    return effects;
  }

  void SetVersionInUse(uint64_t number, Digest digest, Instant now) override {
    self_.version_in_use = number;
    self_.version_digest = digest;
    version_untold_ = true;
    TellVersion(now);
  }

  void SetSeeds(std::vector<std::string> seeds) override {
    config_.seeds = std::move(seeds);
  }

  MembershipEffects Leave(Instant now) override {
    MembershipEffects effects;
    self_.state = InstanceState::kLeft;
    OwnChange(now, effects);
    SendNews(now, effects);
    return effects;
  }

  std::vector<InstanceRecord> Records() const override {
    std::set<std::string> cut_off;
    for (const auto& [domain, seen] : domains_seen_) {
      if (!DomainReachable(domain)) cut_off.insert(domain);
    }
    std::vector<InstanceRecord> records;
    for (const auto& [instance, held] : table_.All()) {
      records.push_back(held.record);
      if (records.back().state == InstanceState::kAlive &&
          cut_off.contains(held.record.failure_domain)) {
        records.back().state = InstanceState::kSuspected;
      }
    }
    return records;
  }

  std::vector<InstanceRecord> Peers() const override {
    std::vector<InstanceRecord> peers;
    for (const std::string& instance : view_.own_domain) {
      peers.push_back(table_.Find(instance)->record);
    }
    for (const auto& [domain, relays] : view_.other_domains) {
      for (const std::string& relay : relays) {
        peers.push_back(table_.Find(relay)->record);
      }
    }
    return peers;
  }

  std::optional<UpstreamAnnouncement> LocalUpstream() const override {
    return upstream_;
  }

  bool DomainReachable(const std::string& failure_domain) const override {
    if (failure_domain == self_.failure_domain) return true;
    if (!domains_seen_.contains(failure_domain)) return false;
    return std::any_of(view_.own_relays.begin(), view_.own_relays.end(),
                       [&](const std::string& relay) {
                         const auto* held = table_.Find(relay);
                         return held != nullptr &&
                                !std::binary_search(
                                    held->record.unreachable_domains.begin(),
                                    held->record.unreachable_domains.end(),
                                    failure_domain);
                       });
  }

 private:
  /// Makes the version in use news, but not each of many in quick succession:
  /// every daemon's record would cross every link once for each version.
  void TellVersion(Instant now) {
    if (!version_untold_ || now < next_version_news_) return;
    version_untold_ = false;
    next_version_news_ = now + config_.version_news_interval;
    MembershipEffects effects;
    OwnChange(now, effects);
  }

  /// @return whether an announcement is of an earlier start of the upstream,
  /// or older than the last one of this start.
  bool IsLate(const UpstreamAnnouncement& upstream) const {
    if (upstream.born_ms != last_born_ms_) {
      return upstream.born_ms < last_born_ms_;
    }
    return upstream.id == last_id_ && upstream.sequence < last_sequence_;
  }

  bool IsOthers(const UpstreamAnnouncement& upstream) const {
    return (!config_.expected_service.empty() &&
            upstream.service != config_.expected_service) ||
           (!config_.expected_address.empty() &&
            upstream.address != config_.expected_address);
  }

  /// @return whether nothing differs that peers or the owner act on.
  static bool SameUpstream(const UpstreamAnnouncement& a,
                           UpstreamAnnouncement b) {
    b.sequence = a.sequence;
    b.cold_remaining = a.cold_remaining;
    return a == b;
  }

  void OwnChange(Instant now, MembershipEffects& effects) {
    ++self_.sequence;
    TakeRecord(self_, now, effects);
    effects.changed = true;  // The upstream's address is not in the record.
    next_gossip_ = now;
  }

  /// Puts a record into the table and makes it news.
  void TakeRecord(const InstanceRecord& record, Instant now,
                  MembershipEffects& effects) {
    const auto* held = table_.Find(record.instance);
    const bool moves = held == nullptr || held->record.state != record.state;
    effects.changed |= held == nullptr || !SameButVersion(held->record, record);
    table_.Put(record, now);
    news_[record.instance] = kNewsRounds;
    domains_seen_.emplace(record.failure_domain, now);
    if (record.state == InstanceState::kSuspected) {
      suspected_.emplace(record.instance, now);
    } else {
      suspected_.erase(record.instance);
    }
    if (moves) ViewChanged(effects);
  }

  void ViewChanged(MembershipEffects& effects) {
    effects.changed = true;
    std::vector<const InstanceRecord*> records;
    for (const auto& [instance, held] : table_.All()) {
      records.push_back(&held.record);
    }
    view_ = ViewOf(records, self_);
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

  /// @param answer receives what the sender does not know: that an instance
  /// it takes for alive is believed to be gone.
  void Merge(const InstanceRecord& record, Instant now, GossipMessage& answer,
             MembershipEffects& effects) {
    if (record.instance == self_.instance) {
      RefuteIfWrong(record, now, effects);
      return;
    }
    const auto* held = table_.Find(record.instance);
    if (held == nullptr || Supersedes(record, held->record)) {
      TakeRecord(record, now, effects);
    } else if (Supersedes(held->record, record) &&
               held->record.state != InstanceState::kAlive) {
      answer.records.push_back(held->record);
    }
  }

  void RefuteIfWrong(const InstanceRecord& record, Instant now,
                     MembershipEffects& effects) {
    if (record.incarnation != self_.incarnation || !Supersedes(record, self_) ||
        self_.state == InstanceState::kLeft) {
      return;
    }
    self_.sequence = record.sequence;
    OwnChange(now, effects);
  }

  void HeardFrom(const std::string& instance, Instant now) {
    const auto* held = table_.Find(instance);
    if (held != nullptr) domains_seen_[held->record.failure_domain] = now;
  }

  /// Declares nobody silent while nothing at all is heard: then the fault is
  /// most likely here.
  void TakeSilent(Instant now, MembershipEffects& effects) {
    for (const std::string& instance : detector_.TakeSilent()) {
      const auto* held = table_.Find(instance);
      if (held == nullptr || held->record.state != InstanceState::kAlive ||
          held->record.failure_domain != self_.failure_domain ||
          now - last_heard_ > config_.probe_interval) {
        continue;
      }
      InstanceRecord suspected = held->record;
      suspected.state = InstanceState::kSuspected;
      TakeRecord(suspected, now, effects);
    }
  }

  void EndSuspicions(Instant now, MembershipEffects& effects) {
    std::vector<InstanceRecord> ended;
    for (const auto& [instance, since] : suspected_) {
      const InstanceRecord& record = table_.Find(instance)->record;
      if (now - since > config_.suspicion &&
          now - last_heard_ <= config_.probe_interval &&
          record.failure_domain == self_.failure_domain) {
        ended.push_back(record);
      }
    }
    for (InstanceRecord& record : ended) {
      record.state = InstanceState::kDead;
      TakeRecord(record, now, effects);
    }
  }

  /// As a relay, tells the own failure domain which others are silent.
  void WatchDomains(Instant now, MembershipEffects& effects) {
    if (view_.relay && !was_relay_) {
      // What was heard of other domains before says nothing of them now.
      for (auto& [domain, seen] : domains_seen_) seen = now;
    }
    was_relay_ = view_.relay;
    std::vector<std::string> unreachable;
    for (const auto& [domain, relays] : view_.other_domains) {
      auto [seen, added] = domains_seen_.emplace(domain, now);
      if (now - seen->second > config_.domain_silence) {
        unreachable.push_back(domain);
      }
    }
    if (unreachable == self_.unreachable_domains) return;
    self_.unreachable_domains = std::move(unreachable);
    OwnChange(now, effects);
  }

  void ExpireCutOffDomains(Instant now, MembershipEffects& effects) {
    next_expiry_ = now + config_.probe_interval;
    for (auto seen = domains_seen_.begin(); seen != domains_seen_.end();) {
      const std::string& domain = seen->first;
      if (DomainReachable(domain)) {
        cut_off_since_.erase(domain);
        ++seen;
        continue;
      }
      const Instant since = cut_off_since_.emplace(domain, now).first->second;
      if (now - since <= config_.forget_after) {
        ++seen;
        continue;
      }
      table_.ForgetDomain(domain);
      std::erase_if(suspected_, [this](const auto& item) {
        return table_.Find(item.first) == nullptr;
      });
      ViewChanged(effects);
      cut_off_since_.erase(domain);
      seen = domains_seen_.erase(seen);
    }
  }

  void SendProbes(Instant now, MembershipEffects& effects) {
    next_probe_ = now + Jittered(config_.probe_interval);
    if (!view_.own_domain.empty()) {
      const std::string& chosen =
          view_.own_domain[probe_turn_++ % view_.own_domain.size()];
      std::vector<ProbeTarget> helpers;
      for (const std::string& other : view_.own_domain) {
        if (other != chosen) helpers.push_back(TargetOf(other));
      }
      detector_.Probe(TargetOf(chosen), std::move(helpers), now, effects);
    }
    for (const auto& [domain, relays] : view_.other_domains) {
      detector_.Probe(TargetOf(relays[random_.Below(relays.size())]), {}, now,
                      effects);
    }
  }

  void SendNews(Instant now, MembershipEffects& effects) {
    next_gossip_ = now + Jittered(config_.gossip_interval);
    if (news_.empty()) return;
    GossipMessage inside;
    GossipMessage across;
    for (bool urgent : {true, false}) {
      for (const auto& [instance, rounds] : news_) {
        const auto* held = table_.Find(instance);
        if (held == nullptr || IsUrgent(held->record) != urgent ||
            inside.records.size() >= kMaxNewsPerMessage) {
          continue;
        }
        inside.records.push_back(held->record);
        if (held->record.failure_domain == self_.failure_domain &&
            rounds == kNewsRounds) {
          across.records.push_back(held->record);
        }
      }
    }
    const std::vector<std::string> targets = NewsTargets();
    if (targets.empty()) return;
    for (const std::string& address : targets) {
      effects.send.push_back({address, inside});
    }
    if (!across.records.empty()) SendAcross(across, effects);
    for (const InstanceRecord& sent : inside.records) {
      auto found = news_.find(sent.instance);
      if (--found->second == 0) news_.erase(found);
    }
    std::erase_if(news_, [this](const auto& item) {
      return table_.Find(item.first) == nullptr;
    });
  }

  /// What ends an upstream's work goes before other news.
  static bool IsUrgent(const InstanceRecord& record) {
    return record.state == InstanceState::kLeft ||
           record.upstream_state == UpstreamState::kDraining;
  }

  std::vector<std::string> NewsTargets() {
    std::vector<std::string> left = view_.own_domain;
    std::vector<std::string> targets;
    while (targets.size() < kGossipFanout && !left.empty()) {
      const size_t chosen = random_.Below(left.size());
      targets.push_back(TargetOf(left[chosen]).address);
      left.erase(left.begin() + static_cast<ptrdiff_t>(chosen));
    }
    if (targets.empty() && view_.other_domains.empty()) {
      const std::string seed = RandomSeed();
      if (!seed.empty()) targets.push_back(seed);
    }
    if (targets.empty() && !view_.other_domains.empty()) {
      const auto& relays = view_.other_domains.begin()->second;
      targets.push_back(TargetOf(relays.front()).address);
    }
    return targets;
  }

  void SendAcross(const GossipMessage& news, MembershipEffects& effects) {
    for (const auto& [domain, relays] : view_.other_domains) {
      const std::string& chosen = relays[random_.Below(relays.size())];
      effects.send.push_back({TargetOf(chosen).address, news});
    }
  }

  /// Compares tables with one peer; now and then with a seed, so that views
  /// that have parted meet again.
  void SendComparison(Instant now, MembershipEffects& effects) {
    const bool alone = table_.All().size() == 1;
    next_compare_ = now + Jittered(alone ? config_.gossip_interval
                                         : config_.compare_interval);
    std::vector<InstanceRecord> peers = Peers();
    std::string address;
    if (peers.empty() || random_.Below(kSeedComparisonShare) == 0) {
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

  /// @return between half and one and a half of an interval.
  Duration Jittered(Duration interval) {
    const auto length = static_cast<uint64_t>(interval.count());
    return Duration(static_cast<int64_t>(length / 2 + random_.Below(length)));
  }

  MembershipConfig config_;
  InstanceRecord self_;
  Random random_;
  RecordTable table_;
  PeerView view_;
  FailureDetector detector_;
  std::map<std::string, size_t> news_;  ///< Rounds left to tell a record in.
  std::map<std::string, Instant> suspected_;
  std::map<std::string, Instant> domains_seen_;
  std::map<std::string, Instant> cut_off_since_;
  Instant next_expiry_;
  std::optional<UpstreamAnnouncement> upstream_;
  Instant lease_end_;
  int64_t last_born_ms_ = 0;
  std::string last_id_;
  uint64_t last_sequence_ = 0;
  Instant last_heard_;
  bool version_untold_ = false;
  Instant next_version_news_;
  Instant next_gossip_;
  Instant next_compare_;
  Instant next_probe_;
  size_t probe_turn_ = 0;
  bool was_relay_ = false;
};

}  // namespace

std::unique_ptr<Membership> MakeMembership(MembershipConfig config,
                                           uint64_t seed, Instant now) {
  return std::make_unique<MembershipImpl>(std::move(config), seed, now);
}

}  // namespace hibiscusglade
