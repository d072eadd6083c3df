#include "control/control_loop.h"

#include <algorithm>
#include <future>
#include <set>
#include <thread>
#include <utility>

#include "base/compression.h"
#include "base/log.h"
#include "consensus/consensus_codec.h"
#include "consensus/consensus_result_codes.h"
#include "control/internal/ask_targets.h"
#include "control/internal/confirmation_reporter.h"
#include "control/internal/control_codec.h"
#include "control/internal/control_views.h"
#include "control/internal/group_client.h"
#include "control/internal/instance_state_reporter.h"
#include "control/internal/ledger_claim_store.h"
#include "control/internal/readiness.h"
#include "control/internal/replica_host.h"
#include "distribution/version_follower.h"
#include "membership/membership.h"
#include "operator/operator_result_codes.h"
#include "versions/versions_result_codes.h"
#include "wire/peer.pb.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

/// Well below the replicas' heartbeat interval of 100 ms.
constexpr Duration kReplicaTickInterval = std::chrono::milliseconds(20);
/// Daemons without a replica have no timer shorter than the gossip interval of
/// 200 ms. Messages wake the thread independently of ticks.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr std::chrono::seconds kOperatorTimeout{6};
/// A turn of the control thread that takes longer is logged: drains and new
/// versions wait for its end.
constexpr Duration kLongTurn = std::chrono::milliseconds(250);

std::vector<std::string> AddressesOf(const std::vector<Member>& members) {
  std::vector<std::string> addresses;
  for (const Member& member : members) addresses.push_back(member.address);
  return addresses;
}

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
        turn_seconds_(metrics.HistogramOf("control_turn_seconds", "")),
        asks_(metrics.CounterOf("version_asks_total", "")),
        ignored_announcements_(
            metrics.CounterOf("announcements_ignored_total", "")),
        confirmations_(routes),
        instance_states_(config.identity.failure_domain),
        ask_targets_(config.control_address, config.identity.failure_domain,
                     [this](AskTargets& targets) {
                       targets.SetInstances(membership_->Records(),
                                            membership_->Relays(),
                                            SeedAddresses());
                     }),
        transport_(
            MakeZmqTransport(config.identity, "control", clock, metrics)),
        group_client_(
            AddressesOf(config.replicas),
            [this](const std::string& address, const GroupRequest& request) {
              SendGroupRequest(address, request);
            }),
        replica_host_(
            [this](GroupId group, const std::string& address,
                   const ConsensusMessage& message) {
              SendConsensusMessage(group, address, message);
            },
            [this](const ConfigVersionPtr& version) {
              accepted_versions_.push_back(version);
            }) {}

  ~ControlLoopImpl() override { Stop(); }

  std::error_code Start() override {
    const Instant now = clock_.Now();
    membership_ = MakeMembership(MembershipSettings(), config_.seed, now);
    FollowerConfig follower;
    follower.instance = config_.identity.instance;
    follower.failure_domain = config_.identity.failure_domain;
    follower.replica = IsReplica();
    follower_ =
        MakeVersionFollower(follower, config_.seed + 1, now, ask_targets_);
    if (IsReplica()) {
      Member self{{config_.identity.instance, 0},
                  false,
                  config_.control_address,
                  config_.identity.failure_domain};
      std::error_code error = replica_host_.Open(
          config_.data_folder, self, config_.replicas, config_.founds_mesh,
          config_.serves_claims, config_.seed + 2, now);
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
      membership_->SetSeeds(SeedAddresses());
      view_changed_ = true;
      Log(LogLevel::kInfo, "control",
          "The seeds were replaced; there are now " +
              std::to_string(seeds.size()) + ".");
    });
  }

  void BeginStop() override {
    readiness_.BeginStop();
    executor_.Post([this] {
      auto upstream = membership_->LocalUpstream();
      if (upstream.has_value()) {
        upstream->state = UpstreamState::kDraining;
        HandleAnnouncement(*upstream, clock_.Now());
      }
      // Peers choose others for what they pass on well before it ends.
      ApplyEffects(membership_->Leave(clock_.Now()));
    });
  }

  void Stop() override {
    if (!thread_.joinable()) return;
    executor_.Post([this] {
      ApplyEffects(membership_->Leave(clock_.Now()));
      exit_requested_ = true;
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
    return RunUntilInEffect([this, upstream, posted_at = clock_.Now()] {
      UpstreamAnnouncement announcement = upstream;
      if (readiness_.Stopping() || draining_) {
        announcement.state = UpstreamState::kDraining;
      }
      HandleAnnouncement(announcement, posted_at);
    });
  }

  bool Deregister(const std::string& id, int64_t started_at_ms) override {
    return RunUntilInEffect([this, id, started_at_ms] {
      const auto upstream = membership_->LocalUpstream();
      Log(LogLevel::kInfo, "control", "An upstream deregistered.",
          {{"upstream", id},
           {"born", std::to_string(started_at_ms)},
           {"registered", upstream.has_value() ? upstream->id : ""}});
      ApplyEffects(
          membership_->OnUpstreamLeft(id, started_at_ms, clock_.Now()));
    });
  }

  void ReportDown(const UpstreamAnnouncement& upstream) override {
    executor_.Post([this, id = upstream.id, start = upstream.started_at_ms,
                    posted_at = clock_.Now()] {
      const MembershipEffects effects =
          membership_->OnUpstreamDown(id, start, clock_.Now());
      Log(LogLevel::kInfo, "control", "The local upstream was reported down.",
          {{"upstream", id},
           {"born", std::to_string(start)},
           {"decision", effects.changed ? "drains" : "ignored"},
           {"queued_ms", MillisText(clock_.Now() - posted_at)}});
      ApplyEffects(effects);
    });
  }

  // OperatorBackend.
  ProposalVerdict Propose(const PatchProposal& proposal) override {
    wire::PatchCommand command;
    command.set_patch_id(proposal.patch_id);
    command.set_base(proposal.base);
    command.set_patch(proposal.patch);
    command.set_author(proposal.author);
    command.set_restore_content_of(proposal.restore_content_of);
    return SubmitProposal(command);
  }

  ProposalVerdict ProposeDocument(const DocumentProposal& proposal) override {
    wire::PatchCommand command;
    command.set_patch_id(proposal.proposal_id);
    command.set_base(proposal.base);
    command.set_number(proposal.number);
    command.set_document(Compress(proposal.document));
    command.set_source(Compress(proposal.source));
    command.set_author(proposal.author);
    return SubmitProposal(command);
  }

  ProposalVerdict VerdictOf(const std::string& patch_id) override {
    wire::VersionQuery query;
    query.set_kind(wire::VersionQuery::VERDICT);
    query.set_patch_id(patch_id);
    std::error_code error;
    const wire::VersionQueryAnswer answer = Query(query, error);
    if (error) return {error, 0, 0, {}};
    return VerdictFromWire(answer.verdict());
  }

  VersionRows Version(uint64_t number) override {
    wire::VersionQuery query;
    query.set_kind(number == 0 ? wire::VersionQuery::LATEST
                               : wire::VersionQuery::NUMBER);
    query.set_number(number);
    return QueryRows(query);
  }

  VersionRows History(uint32_t most) override {
    wire::VersionQuery query;
    query.set_kind(wire::VersionQuery::HISTORY);
    query.set_most(most);
    return QueryRows(query);
  }

  std::vector<DomainProgress> InForce(uint64_t number) override {
    return RunOnControlThread<std::vector<DomainProgress>>(
        [this, number] { return ProgressOf(*membership_, number); });
  }

  std::vector<InstanceRecord> Instances() override {
    return RunOnControlThread<std::vector<InstanceRecord>>(
        [this] { return membership_->Records(); });
  }

  DaemonStatus Status() override {
    return RunOnControlThread<DaemonStatus>([this] {
      DaemonStatus status;
      status.mesh = config_.identity.mesh;
      status.instance = config_.identity.instance;
      status.failure_domain = config_.identity.failure_domain;
      status.waiting_for = follower_->WaitingFor();
      status.stopping = readiness_.Stopping();
      if (follower_->InUse() != nullptr) {
        status.version_in_use = follower_->InUse()->number;
        status.version_age_ms = static_cast<uint64_t>(
            (clock_.Now() - activated_at_).count() / 1000);
        if (const auto age = follower_->Age(clock_.Now())) {
          status.confirmed_ms_ago = static_cast<uint64_t>(age->count() / 1000);
        }
      }
      if (IsReplica()) {
        status.replica_role = NameOf(replica_host_.Role(GroupId::kVersions));
        status.leader_address = replica_host_.LeaderAddress(GroupId::kVersions);
      }
      return status;
    });
  }

  std::string MetricsText() override { return metrics_.Exposition(); }

  bool DrainUpstream() override {
    return RunUntilInEffect([this] {
      draining_ = true;
      auto upstream = membership_->LocalUpstream();
      if (!upstream.has_value()) return;
      upstream->state = UpstreamState::kDraining;
      HandleAnnouncement(*upstream, clock_.Now());
    });
  }

 private:
  bool IsReplica() const { return !config_.data_folder.empty(); }

  MembershipConfig MembershipSettings() const {
    MembershipConfig settings;
    InstanceRecord& self = settings.self;
    self.instance = config_.identity.instance;
    self.region = config_.region;
    self.failure_domain = config_.identity.failure_domain;
    self.incarnation = config_.identity.incarnation;
    self.control_address = config_.control_address;
    self.request_address = config_.request_address;
    self.replica = IsReplica();
    settings.seeds = SeedAddresses();
    settings.expected_service = config_.local_service;
    settings.expected_address = config_.local_upstream;
    return settings;
  }

  std::vector<std::string> SeedAddresses() const {
    std::vector<std::string> seeds = config_.seeds;
    for (const std::string& address : AddressesOf(config_.replicas)) {
      if (std::find(seeds.begin(), seeds.end(), address) == seeds.end()) {
        seeds.push_back(address);
      }
    }
    return seeds;
  }

  /// Updates the known replicas: those that the membership lists as alive or
  /// suspected, plus those named in the settings, which are needed at the
  /// start.
  void UpdateKnownReplicas(const std::vector<InstanceRecord>& records) {
    std::vector<Member> known;
    for (const InstanceRecord& record : records) {
      if (!record.replica || record.state > InstanceState::kSuspected) continue;
      known.push_back({{record.instance, 0},
                       true,
                       record.control_address,
                       record.failure_domain});
    }
    for (const Member& configured : config_.replicas) {
      const bool is_known = std::any_of(
          known.begin(), known.end(),
          [&](const Member& m) { return m.address == configured.address; });
      if (!is_known) known.push_back(configured);
    }
    group_client_.SetReplicas(AddressesOf(known));
    replica_host_.SetKnownReplicas(known);
  }

  void Run() {
    const Duration tick_interval =
        IsReplica() ? kReplicaTickInterval : kTickInterval;
    while (!exit_requested_) {
      const bool busy = IsReplica() && replica_host_.HasUnappliedEntries();
      const Duration wait = busy ? Duration{} : tick_interval;
      const Instant turn_begin = clock_.Now();
      transport_->Poll(executor_.WakeDescriptor(), wait);
      executor_.RunPending();
      const Instant now = clock_.Now();
      if (now >= next_tick_) {
        next_tick_ = now + tick_interval;
        Tick(now);
      }
      if (IsReplica()) replica_host_.Flush(now);
      HandleAcceptedVersions(now);
      HandleOwnMessages();
      if (std::exchange(view_changed_, false)) PublishView();
      for (std::function<void()>& done : std::exchange(awaiting_effect_, {})) {
        listener_.AfterUpdates(std::move(done));
      }
      ReportTurn(clock_.Now() - turn_begin - wait);
    }
  }

  /// @param busy time that the turn took beyond its wait for messages.
  void ReportTurn(Duration busy) {
    turn_seconds_.Record(std::max(busy, Duration{}));
    if (busy < kLongTurn || !long_turns_.AllowLine(clock_.Now())) return;
    Log(LogLevel::kWarning, "control",
        "The control thread was busy for " + MillisText(busy) + " ms.",
        {{"lines_left_out",
          std::to_string(long_turns_.TakeSuppressedCount())}});
  }

  void Tick(Instant now) {
    ApplyEffects(membership_->OnTick(now));
    ApplyEffects(follower_->OnTick(now));
    group_client_.OnTick(now);
    confirmations_.Report(follower_->Age(now), follower_->InUse(), now);
    if (!IsReplica()) return;
    replica_host_.OnTick(now);
  }

  /// Reads the number of the latest version from the leader, for the follower.
  void ReadLatestNumber() {
    if (latest_read_pending_) return;
    latest_read_pending_ = true;
    wire::VersionQuery query;
    // A leader of an earlier release knows histories only.
    const bool history = std::exchange(reads_history_, false);
    query.set_kind(history ? wire::VersionQuery::HISTORY
                           : wire::VersionQuery::LATEST_NUMBER);
    query.set_most(1);
    const Instant begun_at = clock_.Now();
    group_client_.Submit(
        GroupId::kVersions, query.SerializeAsString(), true, begun_at,
        [this, begun_at, history](const ReplicaResult& result) {
          latest_read_pending_ = false;
          wire::VersionQueryAnswer answer;
          if (result.error || !answer.ParseFromString(result.result)) return;
          reads_history_ = !history && !answer.found();
          if (reads_history_) return;
          apply_time_ = {};
          ApplyEffects(follower_->OnLatestRead(
              answer.versions().empty() ? 0 : answer.versions(0).number(),
              begun_at, clock_.Now()));
        });
  }

  void HandleAcceptedVersions(Instant now) {
    for (const ConfigVersionPtr& version :
         std::exchange(accepted_versions_, {})) {
      apply_time_ = {};
      ApplyEffects(follower_->OnCommitted(version, now));
    }
  }

  /// Handles the messages that this daemon has sent to itself.
  void HandleOwnMessages() {
    for (Executor::Task& task : std::exchange(own_messages_, {})) task();
  }

  /// @param posted_at when the announcement was queued for this thread.
  void HandleAnnouncement(const UpstreamAnnouncement& upstream,
                          Instant posted_at) {
    const auto previous = membership_->LocalUpstream();
    const MembershipEffects effects =
        membership_->OnAnnounce(upstream, clock_.Now());
    if (membership_->LocalUpstream() != upstream) {
      ReportIgnored(upstream, previous);
    } else if (!previous.has_value() || previous->id != upstream.id ||
               previous->started_at_ms != upstream.started_at_ms ||
               previous->state != upstream.state) {
      LogAnnouncement("The local upstream announced a new id or state.",
                      upstream,
                      {{"queued_ms", MillisText(clock_.Now() - posted_at)}});
    }
    ApplyEffects(effects);
  }

  /// Counts and logs an announcement that is out of date or not of the upstream
  /// that is expected here.
  void ReportIgnored(const UpstreamAnnouncement& upstream,
                     const std::optional<UpstreamAnnouncement>& registered) {
    ignored_announcements_.Add();
    if (!ignored_lines_.AllowLine(clock_.Now())) return;
    LogAnnouncement(
        "An announcement was ignored as out of date or not expected.", upstream,
        {{"address", upstream.address},
         {"registered", registered.has_value() ? registered->id : ""},
         {"lines_left_out",
          std::to_string(ignored_lines_.TakeSuppressedCount())}});
  }

  static void LogAnnouncement(const std::string& text,
                              const UpstreamAnnouncement& upstream,
                              const LogFields& more) {
    LogFields fields = {
        {"upstream", upstream.id},
        {"service", upstream.service},
        {"state", std::to_string(static_cast<int>(upstream.state))},
        {"born", std::to_string(upstream.started_at_ms)},
        {"sequence", std::to_string(upstream.sequence)}};
    fields.insert(fields.end(), more.begin(), more.end());
    Log(LogLevel::kInfo, "control", text, fields);
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
    follower_->SetPeers(std::move(peers));
    view_changed_ = true;
  }

  void ApplyEffects(const FollowerEffects& effects) {
    for (const DistributionSend& sent : effects.send) {
      wire::Envelope message;
      ToWire(sent.message, message);
      if (message.version_notice().wants_answer()) asks_.Add();
      SendOrDeliver(sent.address, message);
    }
    if (effects.read_latest) ReadLatestNumber();
    if (effects.activate == nullptr) return;
    activated_at_ = clock_.Now();
    readiness_.OnVersionInUse();
    membership_->SetVersionInUse(effects.activate->number,
                                 effects.activate->digest, activated_at_);
    LogActivation(effects);
    view_changed_ = true;
  }

  void LogActivation(const FollowerEffects& effects) const {
    const CatchUp& catch_up = effects.catch_up;
    Log(LogLevel::kInfo, "distribution",
        "Version " + std::to_string(effects.activate->number) + " is in use.",
        {{"confirmed_ms_ago", MillisText(follower_->Age(activated_at_))},
         {"behind_ms", MillisText(catch_up.behind)},
         {"pulls", std::to_string(catch_up.pulls)},
         {"busy", std::to_string(catch_up.busy)},
         {"unanswered", std::to_string(catch_up.unanswered)},
         {"unusable", std::to_string(catch_up.unusable)},
         {"answer_ms", MillisText(catch_up.answer_wait)},
         {"apply_ms", MillisText(apply_time_)},
         {"bytes", std::to_string(effects.activate->text.size())}});
  }

  /// Publishes the route table and the local upstream's limits after instances,
  /// upstreams or the version in use have changed.
  void PublishView() {
    const std::vector<InstanceRecord> records = membership_->Records();
    UpdateKnownReplicas(records);
    ask_targets_.OnViewChanged();
    instance_states_.Report(records, clock_.Now());
    const ConfigVersionPtr& version = follower_->InUse();
    if (version == nullptr) return;
    routes_.Publish(std::make_shared<const RouteTable>(version, records));
    const auto upstream = membership_->LocalUpstream();
    listener_.OnLocalUpstream(upstream, LimitsOf(*version, upstream));
  }

  /// Sends a message. A message to this daemon itself is queued and handled
  /// after the current one, by HandleOwnMessages().
  void SendOrDeliver(const std::string& address, wire::Envelope& message) {
    if (address != config_.control_address) {
      transport_->Send(address, message);
      return;
    }
    own_messages_.emplace_back([this, message] {
      OnPeerMessage(config_.control_address, "", message);
    });
  }

  void SendConsensusMessage(GroupId group, const std::string& address,
                            const ConsensusMessage& message) {
    wire::Envelope envelope;
    wire::ConsensusMessage* out = envelope.mutable_consensus();
    ToWire(message, *out);
    out->set_group(static_cast<uint32_t>(group));
    transport_->Send(address, envelope);
  }

  void SendGroupRequest(const std::string& address,
                        const GroupRequest& request) {
    wire::Envelope envelope;
    wire::ProposeRequest* out = envelope.mutable_propose_request();
    out->set_group(static_cast<uint32_t>(request.group));
    out->set_request(request.request_id);
    out->set_command(request.command);
    out->set_read(request.read);
    SendOrDeliver(address, envelope);
  }

  /// Answers a message on the connection that it arrived on; without a path, by
  /// a message to `from`.
  void Reply(const std::string& from, const ReturnPath& path,
             wire::Envelope& message) {
    if (path.empty()) {
      SendOrDeliver(from, message);
    } else {
      transport_->Reply(path, message);
    }
  }

  void OnPeerMessage(const std::string& from, const ReturnPath& path,
                     const wire::Envelope& message) {
    const Instant now = clock_.Now();
    if (message.has_consensus()) {
      auto consensus = FromWire(message.consensus());
      if (!consensus.has_value() || !IsReplica()) return;
      replica_host_.OnMessage(static_cast<GroupId>(message.consensus().group()),
                              *consensus, now);
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
      DriveFollower(from, path, [&] {
        return follower_->OnMessage(kSenderAddress, *distribution, now);
      });
      DriveFollower(from, path, [&] { return follower_->ApplyReceived(now); });
      return;
    }
    if (auto membership = MembershipFromWire(message)) {
      ReportUnreadableRecords(message, *membership);
      MembershipEffects effects =
          membership_->OnMessage(kSenderAddress, *membership, now);
      for (const MembershipSend& sent : effects.send) {
        wire::Envelope answer;
        ToWire(sent.message, answer);
        SendOrReply(sent.address, from, path, answer);
      }
      effects.send.clear();
      ApplyEffects(effects);
    }
  }

  void ReportUnreadableRecords(const wire::Envelope& message,
                               const MembershipMessage& read) {
    const auto* gossip = std::get_if<GossipMessage>(&read);
    if (gossip == nullptr ||
        gossip->records.size() ==
            static_cast<size_t>(message.gossip().records_size()) ||
        !unreadable_records_.AllowLine(clock_.Now())) {
      return;
    }
    Log(LogLevel::kWarning, "control",
        "Records of instances were ignored: an address can't be read.",
        {{"sender", message.instance()},
         {"lines_left_out",
          std::to_string(unreadable_records_.TakeSuppressedCount())}});
  }

  /// Runs a step of the follower that a message caused, and carries out its
  /// effects. Messages to the sender are sent as replies.
  void DriveFollower(const std::string& from, const ReturnPath& path,
                     const std::function<FollowerEffects()>& step) {
    const Instant begin = clock_.Now();
    FollowerEffects effects = step();
    apply_time_ = clock_.Now() - begin;
    for (const DistributionSend& sent : effects.send) {
      wire::Envelope answer;
      ToWire(sent.message, answer);
      SendOrReply(sent.address, from, path, answer);
    }
    effects.send.clear();
    ApplyEffects(effects);
  }

  /// Sends a message to an address, or as a reply when that is kSenderAddress.
  void SendOrReply(const std::string& address, const std::string& from,
                   const ReturnPath& path, wire::Envelope& answer) {
    if (address == kSenderAddress) {
      Reply(from, path, answer);
    } else {
      SendOrDeliver(address, answer);
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
      if (IsReplica()) {
        out->set_leader_address(replica_host_.LeaderAddress(request.group));
      }
      Reply(from, path, envelope);
    };
    if (!IsReplica() || in.group() > static_cast<uint32_t>(GroupId::kClaims)) {
      answer({ConsensusCode::kNotLeader, ""});
      return;
    }
    replica_host_.Submit(request, now, answer);
  }

  /// Runs a function on the control thread and waits until what it changed is
  /// in effect for requests.
  /// @return whether it was in effect before the configured timeout.
  bool RunUntilInEffect(std::function<void()> work) {
    auto promise = std::make_shared<std::promise<void>>();
    auto future = promise->get_future();
    executor_.Post([this, promise, work = std::move(work)] {
      work();
      awaiting_effect_.emplace_back([promise] { promise->set_value(); });
    });
    return future.wait_for(config_.in_effect_timeout) ==
           std::future_status::ready;
  }

  /// Runs a function on the control thread and waits for its result.
  /// @return an empty result after kOperatorTimeout.
  template <typename Result>
  Result RunOnControlThread(std::function<Result()> work) {
    auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    executor_.Post([promise, work] { promise->set_value(work()); });
    if (future.wait_for(kOperatorTimeout) != std::future_status::ready) {
      return Result{};
    }
    return future.get();
  }

  ReplicaResult SubmitAndWait(std::string command, bool read) {
    auto promise = std::make_shared<std::promise<ReplicaResult>>();
    auto future = promise->get_future();
    executor_.Post([this, promise, command = std::move(command), read] {
      group_client_.Submit(GroupId::kVersions, command, read, clock_.Now(),
                           [promise](const ReplicaResult& result) {
                             promise->set_value(result);
                           });
    });
    if (future.wait_for(kOperatorTimeout) != std::future_status::ready) {
      return {OperatorCode::kInternalTimeout, ""};
    }
    return future.get();
  }

  /// Adds the time to a proposal, submits it and waits for the verdict.
  ProposalVerdict SubmitProposal(wire::PatchCommand& command) {
    command.set_proposed_at(static_cast<uint64_t>(clock_.UnixMicros()));
    const ReplicaResult result =
        SubmitAndWait(command.SerializeAsString(), false);
    if (result.error) return {result.error, 0, 0, {}};
    wire::PatchVerdict verdict;
    verdict.ParseFromString(result.result);
    return VerdictFromWire(verdict);
  }

  wire::VersionQueryAnswer Query(const wire::VersionQuery& query,
                                 std::error_code& error) {
    wire::VersionQueryAnswer answer;
    ReplicaResult result = SubmitAndWait(query.SerializeAsString(), true);
    error = result.error;
    if (error) return answer;
    answer.ParseFromString(result.result);
    if (!answer.found()) error = VersionsCode::kNoSuchVersion;
    return answer;
  }

  VersionRows QueryRows(const wire::VersionQuery& query) {
    VersionRows rows;
    const wire::VersionQueryAnswer answer = Query(query, rows.error);
    for (const wire::StoredVersion& version : answer.versions()) {
      rows.rows.push_back(VersionRowFromWire(version));
    }
    return rows;
  }

  /// Placeholder for the address of the sender of the message being handled.
  static constexpr char kSenderAddress[] = "sender";

  ControlConfig config_;
  const Clock& clock_;
  Metrics& metrics_;
  RouteTableHolder& routes_;
  LocalUpstreamListener& listener_;
  LatencyHistogram& turn_seconds_;
  Counter& asks_;
  Counter& ignored_announcements_;
  ConfirmationReporter confirmations_;
  InstanceStateReporter instance_states_;
  Executor executor_;
  AskTargets ask_targets_;
  std::unique_ptr<PeerTransport> transport_;
  GroupClient group_client_;
  std::vector<ConfigVersionPtr> accepted_versions_;
  ReplicaHost replica_host_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<VersionFollower> follower_;
  std::vector<Executor::Task> own_messages_;
  /// Called when the view that is published next is in effect.
  std::vector<std::function<void()>> awaiting_effect_;

  Instant next_tick_;
  Instant activated_at_;
  Duration apply_time_{};  ///< Spent on the last answer of a peer.
  LogRateLimiter long_turns_{1};
  LogRateLimiter unreadable_records_{1};
  LogRateLimiter ignored_lines_{1};
  bool latest_read_pending_ = false;
  bool reads_history_ = false;
  bool view_changed_ = false;  ///< Handled at the end of a loop iteration.
  bool draining_ = false;
  bool exit_requested_ = false;
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
