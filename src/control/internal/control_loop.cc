#include "control/control_loop.h"

#include <thread>
#include <utility>

#include "base/log.h"
#include "consensus/consensus_codec.h"
#include "consensus/consensus_result_codes.h"
#include "control/internal/ask_targets.h"
#include "control/internal/confirmation_reporter.h"
#include "control/internal/control_codec.h"
#include "control/internal/control_settings.h"
#include "control/internal/control_views.h"
#include "control/internal/effect_waiter.h"
#include "control/internal/follower_driver.h"
#include "control/internal/group_client.h"
#include "control/internal/instance_state_reporter.h"
#include "control/internal/ledger_claim_store.h"
#include "control/internal/operator_calls.h"
#include "control/internal/peer_messenger.h"
#include "control/internal/readiness.h"
#include "control/internal/replica_host.h"
#include "control/internal/rollout_driver.h"
#include "control/internal/start_reporter.h"
#include "control/internal/turn_reporter.h"
#include "control/internal/unreadable_record_reporter.h"
#include "control/internal/upstream_announcements.h"
#include "distribution/version_follower.h"
#include "membership/membership.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

/// Well below the replicas' heartbeat interval of 100 ms.
constexpr Duration kReplicaTickInterval = std::chrono::milliseconds(20);
/// Daemons without a replica have no timer shorter than the gossip interval of
/// 200 ms. Messages wake the thread independently of ticks.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
/// Longest wait at the end for a group to do without the replica here, as when
/// it elects a leader just then.
constexpr Duration kLeaveTimeout = std::chrono::milliseconds(1500);

class ControlLoopImpl : public ControlLoop {
 public:
  ControlLoopImpl(const ControlConfig& config, const Clock& clock,
                  Metrics& metrics, RouteTableHolder& routes,
                  LocalUpstreamListener& listener)
      : config_(config),
        clock_(clock),
        metrics_(metrics),
        routes_(routes),
        listener_(listener),
        turns_(clock, metrics),
        start_(clock.Now(), metrics),
        unreadable_records_(clock),
        confirmations_(routes),
        instance_states_(config.identity.failure_domain),
        ask_targets_(config.control_address, config.identity.failure_domain,
                     [this](AskTargets& targets) {
                       targets.SetInstances(membership_->Records(),
                                            membership_->Relays(),
                                            SeedAddresses(config_));
                     }),
        transport_(
            MakeZmqTransport(config.identity, "control", clock, metrics)),
        messenger_(*transport_, config.control_address,
                   [this](const std::string& from, const ReturnPath& path,
                          const wire::Envelope& message) {
                     OnPeerMessage(from, path, message);
                   }),
        group_client_(
            AddressesOf(config.replicas),
            [this](const std::string& address, const GroupRequest& request) {
              messenger_.SendGroupRequest(address, request);
            }),
        follower_(
            clock, metrics, messenger_, group_client_,
            [this](const ConfigVersionPtr& version, Instant now) {
              OnActivated(version, now);
            },
            [this](const std::vector<UpstreamLeave>& leaves) {
              announcements_.OnLeavesRead(leaves);
            },
            [this] { view_changed_ = true; }),
        announcements_(
            config.identity.instance, clock, metrics,
            [this](std::string command, ReplicaCallback done) {
              group_client_.Submit(GroupId::kVersions, std::move(command),
                                   false, clock_.Now(), std::move(done));
            },
            [this](const MembershipEffects& effects) {
              ApplyEffects(effects);
            }),
        operator_calls_(executor_, group_client_, clock),
        replica_host_(
            [this](GroupId group, const std::string& address,
                   const ConsensusMessage& message) {
              messenger_.SendConsensusMessage(group, address, message);
            },
            [this](const ConfigVersionPtr& version) {
              follower_.OnAccepted(version);
            }),
        rollouts_(config.identity, clock, metrics, config.rollouts, messenger_,
                  group_client_) {}

  ~ControlLoopImpl() override { Stop(); }

  std::error_code Start() override {
    const Instant now = clock_.Now();
    membership_ =
        MakeMembership(MembershipSettings(config_), config_.seed, now);
    announcements_.Start(*membership_);
    follower_.Start(FollowerSettings(config_), config_.seed + 1, now,
                    ask_targets_);
    if (IsReplica(config_)) {
      std::error_code error = replica_host_.Open(
          config_.data_folder, OwnMember(config_), config_.replicas,
          config_.founds_mesh, config_.serves_claims,
          ConsensusConfig{.tolerated_losses = config_.tolerated_losses},
          config_.seed + 2, now);
      if (error) return error;
    }
    std::error_code error = transport_->Listen(config_.listen_address);
    if (error) return error;
    transport_->SetReceiver([this](const std::string& from,
                                   const ReturnPath& path,
                                   const wire::Envelope& message) {
      OnPeerMessage(from, path, message);
    });
    thread_ = std::thread([this] { Run(); });
    return {};
  }

  bool Ready() const override { return readiness_.Ready(); }

  void SetSeeds(const std::vector<std::string>& seeds,
                const std::vector<Member>& replicas) override {
    executor_.Post([this, seeds, replicas] {
      config_.seeds = seeds;
      config_.replicas = replicas;
      membership_->SetSeeds(SeedAddresses(config_));
      view_changed_ = true;
      Log(LogLevel::kInfo, "control",
          "The seeds were replaced; there are now " +
              std::to_string(seeds.size()) + ".");
    });
  }

  void BeginStop() override {
    readiness_.BeginStop();
    executor_.Post([this] {
      announcements_.DrainLocalUpstream();
      // Peers choose others for what they pass on well before it ends.
      ApplyEffects(membership_->Leave(clock_.Now()));
      if (IsReplica(config_)) replica_host_.Leave(clock_.Now());
    });
  }

  void Stop() override {
    if (!thread_.joinable()) return;
    executor_.Post([this] {
      const Instant now = clock_.Now();
      ApplyEffects(membership_->Leave(now));
      if (IsReplica(config_)) replica_host_.Leave(now);
      exit_deadline_ = now + kLeaveTimeout;
    });
    thread_.join();
  }

  std::unique_ptr<ClaimStore> MakeClaimStore(Executor& executor) override {
    return std::make_unique<LedgerClaimStore>(
        [this](std::string command, ReplicaCallback done) {
          executor_.Post(
              [this, command = std::move(command), done = std::move(done)] {
                group_client_.Submit(GroupId::kClaims, command, false,
                                     clock_.Now(), done);
              });
        },
        executor);
  }

  // AnnouncementSink.
  bool Announce(const UpstreamAnnouncement& upstream) override {
    return in_effect_.RunAndWait(
        [this, upstream, posted_at = clock_.Now()](LeaveRecorder::Done done) {
          announcements_.OnAnnounce(upstream, posted_at, std::move(done));
        });
  }

  bool Deregister(const std::string& id, int64_t started_at_ms) override {
    return in_effect_.RunAndWait(
        [this, id, started_at_ms](LeaveRecorder::Done done) {
          announcements_.OnDeregister(id, started_at_ms, std::move(done));
        });
  }

  void ReportDown(const UpstreamAnnouncement& upstream) override {
    executor_.Post([this, upstream, posted_at = clock_.Now()] {
      announcements_.OnReportedDown(upstream, posted_at);
    });
  }

  // OperatorBackend.
  ProposalVerdict Propose(const PatchProposal& proposal) override {
    return operator_calls_.Propose(proposal);
  }

  ProposalVerdict ProposeDocument(const DocumentProposal& proposal) override {
    return operator_calls_.ProposeDocument(proposal);
  }

  ProposalVerdict VerdictOf(const std::string& patch_id) override {
    return operator_calls_.VerdictOf(patch_id);
  }

  VersionRows Version(uint64_t number) override {
    return operator_calls_.Version(number);
  }

  VersionRows History(uint32_t most) override {
    return operator_calls_.History(most);
  }

  RolloutResult OrderRollout(const RolloutOrder& order) override {
    return operator_calls_.OrderRollout(order);
  }

  RolloutResult LastRollout(const std::string& service) override {
    return operator_calls_.LastRollout(service);
  }

  RolloutRows Rollouts() override { return operator_calls_.Rollouts(); }

  std::vector<DomainProgress> InForce(uint64_t number) override {
    return operator_calls_.RunOnControlThread<std::vector<DomainProgress>>(
        [this, number] { return ProgressOf(*membership_, number); });
  }

  std::vector<InstanceRecord> Instances() override {
    return operator_calls_.RunOnControlThread<std::vector<InstanceRecord>>(
        [this] { return membership_->Records(); });
  }

  DaemonStatus Status() override {
    return operator_calls_.RunOnControlThread<DaemonStatus>([this] {
      DaemonStatus status;
      status.mesh = config_.identity.mesh;
      status.instance = config_.identity.instance;
      status.failure_domain = config_.identity.failure_domain;
      status.stopping = readiness_.Stopping();
      SetVersionInUse(follower_.Follower(), follower_.ActivatedAt(),
                      clock_.Now(), status);
      if (IsReplica(config_)) {
        status.replica_role = NameOf(replica_host_.Role(GroupId::kVersions));
        status.leader_address = replica_host_.LeaderAddress(GroupId::kVersions);
      }
      return status;
    });
  }

  LimitStatus StatusOfLimit(const std::string& customer) override {
    return listener_.StatusOfLimit(customer);
  }

  std::string MetricsText() override { return metrics_.Exposition(); }

  bool DrainUpstream() override {
    return in_effect_.RunAndWait([this](const LeaveRecorder::Done& done) {
      announcements_.DrainLocalUpstream();
      done(true);
    });
  }

 private:
  void Run() {
    const Duration tick_interval =
        IsReplica(config_) ? kReplicaTickInterval : kTickInterval;
    while (!MayExit()) {
      const bool busy =
          IsReplica(config_) && replica_host_.HasUnappliedEntries();
      const bool starts = next_tick_ == Instant{};
      const Duration wait = busy || starts ? Duration{} : tick_interval;
      const Instant turn_begin = clock_.Now();
      transport_->Poll(executor_.WakeDescriptor(), wait);
      executor_.RunPending();
      const Instant now = clock_.Now();
      if (now >= next_tick_) {
        next_tick_ = now + tick_interval;
        Tick(now);
      }
      if (IsReplica(config_)) replica_host_.Flush(now);
      follower_.HandleAcceptedVersions(now);
      follower_.OnRollouts(replica_host_.Versions().Rollouts());
      messenger_.HandleOwnMessages();
      if (std::exchange(view_changed_, false)) PublishView();
      in_effect_.OnPublished(listener_);
      ReportStart(clock_.Now());
      turns_.Report(clock_.Now() - turn_begin - wait);
    }
  }

  /// @return whether the thread may end: it was told to, and the groups of the
  /// replicas don't count on this one any more.
  bool MayExit() const {
    if (!exit_deadline_.has_value()) return false;
    return !IsReplica(config_) || replica_host_.HasLeft() ||
           clock_.Now() >= *exit_deadline_;
  }

  void ReportStart(Instant now) {
    const VersionFollower& follower = follower_.Follower();
    const auto report = [&](StartStage stage, const auto& is_reached) {
      if (!start_.Reached(stage) && is_reached()) start_.OnStage(stage, now);
    };
    report(StartStage::kPeers, [&] { return !membership_->Peers().empty(); });
    report(StartStage::kLeader, [&] {
      return IsReplica(config_) &&
             !replica_host_.LeaderAddress(GroupId::kVersions).empty();
    });
    report(StartStage::kFloor, [&] { return follower.FloorKnown(); });
    report(StartStage::kVersion, [&] {
      return follower.InUse() != nullptr && follower.InUse()->number > 0;
    });
    report(StartStage::kUpstream,
           [&] { return membership_->LocalUpstream().has_value(); });
  }

  void Tick(Instant now) {
    ApplyEffects(membership_->OnTick(now));
    follower_.OnTick(now);
    group_client_.OnTick(now);
    confirmations_.Report(follower_.Follower().Age(now),
                          follower_.Follower().InUse(), now);
    rollouts_.Report(follower_.Follower().Rollouts().rollouts, now);
    if (!IsReplica(config_)) return;
    replica_host_.OnTick(now);
    const RolloutMap& recorded = replica_host_.Versions().Rollouts().rollouts;
    if (!recorded.empty() &&
        replica_host_.Role(GroupId::kVersions) == ReplicaRole::kLeader) {
      rollouts_.Lead(recorded, membership_->Records(), now);
    }
  }

  void ApplyEffects(const MembershipEffects& effects) {
    for (const MembershipSend& sent : effects.send) {
      wire::Envelope message;
      ToWire(sent.message, message);
      transport_->Send(sent.address, message);
    }
    if (!effects.changed) return;
    std::vector<DistributionPeer> peers;
    for (const InstanceRecord& record : membership_->Peers()) {
      peers.push_back({record.instance, record.failure_domain,
                       record.control_address, record.replica});
    }
    follower_.SetPeers(std::move(peers));
    view_changed_ = true;
  }

  void OnActivated(const ConfigVersionPtr& version, Instant now) {
    readiness_.OnVersionInUse(version->number);
    membership_->SetVersionInUse(version->number, version->digest, now);
    view_changed_ = true;
  }

  /// Publishes the route table and the local upstream's limits after instances,
  /// upstreams or the version in use have changed.
  void PublishView() {
    const std::vector<InstanceRecord> records = membership_->Records();
    const std::vector<Member> replicas = KnownReplicas(config_, records);
    group_client_.SetReplicas(AddressesOf(replicas));
    rollouts_.SetReplicas(AddressesOf(replicas));
    replica_host_.SetKnownReplicas(replicas);
    ask_targets_.OnViewChanged();
    instance_states_.Report(records, clock_.Now());
    const ConfigVersionPtr& version = follower_.Follower().InUse();
    if (version == nullptr) return;
    const RolloutMap& rollouts = follower_.Follower().Rollouts().rollouts;
    // By version 0 every request would be one that no route allows.
    if (version->number > 0) {
      const RouteTablePtr previous = routes_.Current();
      routes_.Publish(std::make_shared<const RouteTable>(
          version, MeshView{records, rollouts}, previous.get()));
    }
    const auto upstream =
        ClosedByRollout(membership_->LocalUpstream(), rollouts);
    listener_.OnLocalUpstream(upstream, LimitsOf(*version, upstream));
  }

  void OnPeerMessage(const std::string& from, const ReturnPath& path,
                     const wire::Envelope& message) {
    const Instant now = clock_.Now();
    if (message.has_consensus()) {
      auto consensus = FromWire(message.consensus());
      if (!consensus.has_value() || !IsReplica(config_)) return;
      replica_host_.OnMessage(static_cast<GroupId>(message.consensus().group()),
                              *consensus, now);
      return;
    }
    if (message.has_rollout_report()) {
      if (IsReplica(config_)) rollouts_.OnReport(message, now);
      return;
    }
    if (message.has_propose_request()) {
      OnProposeRequest(from, path, message.propose_request(), now);
      return;
    }
    if (message.has_propose_answer()) {
      const wire::ProposeAnswer& answer = message.propose_answer();
      group_client_.OnAnswer({answer.request(), ErrorFromNumber(answer.code()),
                              answer.result(), answer.leader_address()},
                             now);
      return;
    }
    if (auto distribution = DistributionFromWire(message)) {
      if (auto* notice = std::get_if<VersionNotice>(&*distribution)) {
        notice->same_domain =
            message.failure_domain() == config_.identity.failure_domain;
      }
      follower_.OnMessage(from, path, *distribution, now);
      return;
    }
    if (auto membership = MembershipFromWire(message)) {
      unreadable_records_.Report(message, *membership);
      MembershipEffects effects = membership_->OnMessage(
          PeerMessenger::kSenderAddress, *membership, now);
      for (const MembershipSend& sent : effects.send) {
        wire::Envelope answer;
        ToWire(sent.message, answer);
        messenger_.SendOrReply(sent.address, from, path, answer);
      }
      effects.send.clear();
      ApplyEffects(effects);
    }
  }

  void OnProposeRequest(const std::string& from, const ReturnPath& path,
                        const wire::ProposeRequest& in, Instant now) {
    const GroupRequest request{in.request(), static_cast<GroupId>(in.group()),
                               in.command(), in.read()};
    auto answer = [this, from, path, request](const ReplicaResult& result) {
      wire::Envelope envelope;
      wire::ProposeAnswer* out = envelope.mutable_propose_answer();
      out->set_request(request.request_id);
      out->set_code(result.error.value());
      out->set_result(result.result);
      if (IsReplica(config_)) {
        out->set_leader_address(replica_host_.LeaderAddress(request.group));
      }
      messenger_.Reply(from, path, envelope);
    };
    if (!IsReplica(config_) ||
        in.group() > static_cast<uint32_t>(GroupId::kClaims)) {
      answer({ConsensusCode::kNotLeader, ""});
      return;
    }
    replica_host_.Submit(request, now, answer);
  }

  ControlConfig config_;
  const Clock& clock_;
  Metrics& metrics_;
  RouteTableHolder& routes_;
  LocalUpstreamListener& listener_;
  TurnReporter turns_;
  StartReporter start_;
  UnreadableRecordReporter unreadable_records_;
  ConfirmationReporter confirmations_;
  InstanceStateReporter instance_states_;
  Executor executor_;
  EffectWaiter in_effect_{executor_, config_.in_effect_timeout};
  AskTargets ask_targets_;
  std::unique_ptr<PeerTransport> transport_;
  PeerMessenger messenger_;
  GroupClient group_client_;
  FollowerDriver follower_;
  UpstreamAnnouncements announcements_;
  OperatorCalls operator_calls_;
  ReplicaHost replica_host_;
  RolloutDriver rollouts_;
  std::unique_ptr<Membership> membership_;

  Instant next_tick_;
  bool view_changed_ = false;  ///< Handled at the end of a loop iteration.
  std::optional<Instant> exit_deadline_;  ///< Set once the thread must end.
  Readiness readiness_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<ControlLoop> MakeControlLoop(const ControlConfig& config,
                                             const Clock& clock,
                                             Metrics& metrics,
                                             RouteTableHolder& routes,
                                             LocalUpstreamListener& listener) {
  return std::make_unique<ControlLoopImpl>(config, clock, metrics, routes,
                                           listener);
}

}  // namespace hibiscusglade
