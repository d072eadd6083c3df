#include "membership/membership.h"

#include <algorithm>
#include <map>
#include <utility>

#include "platform/random.h"

namespace hibiscusglade {
namespace {

constexpr size_t kGossipFanout = 3;

class MembershipImpl : public Membership {
 public:
  MembershipImpl(MembershipConfig config, uint64_t seed, Instant now)
      : config_(std::move(config)), random_(seed), next_gossip_(now) {
    records_[config_.self.instance] = {config_.self, now};
  }

  MembershipEffects OnTick(Instant now) override {
    MembershipEffects effects;
    if (upstream_.has_value() && now >= lease_end_) {
      effects = OnUpstreamGone(now);
    }
    ExpireSilent(now, effects);
    if (now >= next_gossip_) SendGossip(now, effects);
    return effects;
  }

  MembershipEffects OnMessage(const std::string& from,
                              const MembershipMessage& message,
                              Instant now) override {
    MembershipEffects effects;
    if (const auto* gossip = std::get_if<GossipMessage>(&message)) {
      for (const InstanceRecord& record : gossip->records) {
        Merge(record, now, effects);
      }
      if (gossip->wants_answer) {
        effects.send.push_back(
            {from, GossipMessage{Records(), 0, false, true}});
      }
    }
    return effects;
  }

  MembershipEffects OnAnnounce(const UpstreamAnnouncement& upstream,
                               Instant now) override {
    MembershipEffects effects;
    lease_end_ = now + config_.announcement_lease;
    if (upstream_ == upstream) return effects;
    upstream_ = upstream;
    InstanceRecord& self = Self();
    self.service = upstream.service;
    self.slots = upstream.slots;
    self.upstream_state = upstream.state;
    OwnChange(now, effects);
    return effects;
  }

  MembershipEffects OnUpstreamGone(Instant now) override {
    MembershipEffects effects;
    if (!upstream_.has_value()) return effects;
    upstream_.reset();
    Self().upstream_state = UpstreamState::kNone;
    OwnChange(now, effects);
    return effects;
  }

  void SetVersionInUse(uint64_t number, Digest digest) override {
    Self().version_in_use = number;
    Self().version_digest = digest;
    ++Self().sequence;
  }

  MembershipEffects Leave(Instant now) override {
    MembershipEffects effects;
    Self().state = InstanceState::kLeft;
    OwnChange(now, effects);
    SendGossip(now, effects);
    return effects;
  }

  std::vector<InstanceRecord> Records() const override {
    std::vector<InstanceRecord> records;
    for (const auto& [instance, held] : records_) {
      records.push_back(held.record);
    }
    return records;
  }

  std::optional<UpstreamAnnouncement> LocalUpstream() const override {
    return upstream_;
  }

  bool DomainReachable(const std::string& failure_domain) const override {
    return std::any_of(records_.begin(), records_.end(), [&](const auto& item) {
      const InstanceRecord& record = item.second.record;
      return record.failure_domain == failure_domain &&
             record.state == InstanceState::kAlive;
    });
  }

 private:
  struct Held {
    InstanceRecord record;
    Instant heard;  ///< When the record last changed.
  };

  InstanceRecord& Self() { return records_[config_.self.instance].record; }

  void OwnChange(Instant now, MembershipEffects& effects) {
    ++Self().sequence;
    next_gossip_ = now;
    effects.changed = true;
  }

  void Merge(const InstanceRecord& record, Instant now,
             MembershipEffects& effects) {
    if (record.instance == config_.self.instance) {
      RefuteIfWrong(record, now, effects);
      return;
    }
    auto found = records_.find(record.instance);
    if (found != records_.end() && !Supersedes(record, found->second.record)) {
      return;
    }
    records_[record.instance] = {record, now};
    effects.changed = true;
  }

  void RefuteIfWrong(const InstanceRecord& record, Instant now,
                     MembershipEffects& effects) {
    InstanceRecord& self = Self();
    if (record.incarnation != self.incarnation || !Supersedes(record, self) ||
        self.state == InstanceState::kLeft) {
      return;
    }
    self.sequence = record.sequence;
    OwnChange(now, effects);
  }

  void ExpireSilent(Instant now, MembershipEffects& effects) {
    for (auto item = records_.begin(); item != records_.end();) {
      Held& held = item->second;
      const bool gone = held.record.state == InstanceState::kDead ||
                        held.record.state == InstanceState::kLeft;
      if (gone && now - held.heard > config_.forget_after) {
        item = records_.erase(item);
        effects.changed = true;
      } else {
        ++item;
      }
    }
  }

  void SendGossip(Instant now, MembershipEffects& effects) {
    const auto interval =
        static_cast<uint64_t>(config_.gossip_interval.count());
    next_gossip_ =
        now +
        Duration(static_cast<int64_t>(interval / 2 + random_.Below(interval)));
    std::vector<std::string> targets = config_.seeds;
    for (const auto& [instance, held] : records_) {
      if (held.record.state <= InstanceState::kSuspected) {
        targets.push_back(held.record.control_address);
      }
    }
    std::erase(targets, config_.self.control_address);
    if (targets.empty()) return;
    for (size_t i = 0; i < std::min(kGossipFanout, targets.size()); ++i) {
      effects.send.push_back({targets[random_.Below(targets.size())],
                              GossipMessage{Records(), 0, true, true}});
    }
  }

  MembershipConfig config_;
  Random random_;
  std::map<std::string, Held> records_;
  std::optional<UpstreamAnnouncement> upstream_;
  Instant lease_end_;
  Instant next_gossip_;
};

}  // namespace

std::unique_ptr<Membership> MakeMembership(MembershipConfig config,
                                           uint64_t seed, Instant now) {
  return std::make_unique<MembershipImpl>(std::move(config), seed, now);
}

}  // namespace hibiscusglade
