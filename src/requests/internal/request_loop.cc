#include "requests/request_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

#include "admission/quarantine.h"
#include "base/log.h"
#include "entry/entry.h"
#include "flows/domain_flows.h"
#include "limits/customer_limits.h"
#include "owner/owner.h"
#include "requests/internal/answer_messages.h"
#include "requests/internal/call_codec.h"
#include "requests/internal/link_delay.h"
#include "requests/internal/link_watch.h"
#include "requests/internal/request_parts.h"
#include "requests/internal/run_events_forwarder.h"
#include "requests/internal/suspicion_exchange.h"
#include "routing/upstream_chooser.h"
#include "upstream/http_upstream_client.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kLinkCheckInterval = std::chrono::milliseconds(50);
/// Used while no call or attempt is open that could reach its deadline.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(100);

class RequestLoopImpl : public RequestLoop,
                        OwnerLink,
                        EntryLink,
                        OwnerListener {
 public:
  RequestLoopImpl(const RequestLoopConfig& config, const Clock& clock,
                  Metrics& metrics, const RouteTableHolder& routes)
      : config_(config),
        clock_(clock),
        metrics_(metrics),
        routes_(routes),
        loop_(clock),
        transport_(MakeTcpTransport(config.identity, "request", loop_, clock,
                                    metrics)),
        flows_(config.seed),
        chooser_(MakeUpstreamChooser(ChooserConfigOf(config, flows_))),
        quarantine_(MakeQuarantine()),
        limits_(MakeCustomerLimits(
            {config.identity, config.request_address, config.failure_domains},
            {*transport_, routes, clock, metrics})),
        entry_(MakeEntry(config.identity.instance, config.identity.incarnation,
                         {*this, routes, *chooser_, metrics, *limits_,
                          call_trees_.get(), config.rollouts})),
        suspicions_(
            config.identity.instance, *quarantine_, routes, *transport_,
            [this](bool hold, Instant now) { owner_->HoldRuns(hold, now); }) {}

  ~RequestLoopImpl() override { Stop(); }

  Executor& RequestExecutor() override { return executor_; }
  EventLoop& Loop() override { return loop_; }

  std::error_code Start(ClaimStore& claims,
                        AnnouncementSink& announcements) override {
    announcements_ = &announcements;
    const UpstreamClientConfig client{config_.upstream_connections,
                                      UpstreamClientConfig{}.connect_timeout,
                                      config_.upstream_dialect};
    upstream_ = MakeHttpUpstreamClient(client, run_events_, loop_, clock_);
    owner_ = MakeOwner(
        config_.identity.instance,
        {*this,
         *upstream_,
         claims,
         *quarantine_,
         metrics_,
         clock_,
         *this,
         config_.link_mbps,
         {&metrics_.CounterOf("peer_sent_bytes_total", "plane=\"request\""),
          &metrics_.CounterOf("peer_sent_bytes_total", "plane=\"control\"")},
         {&metrics_.CounterOf("peer_received_bytes_total", "plane=\"request\""),
          &metrics_.CounterOf("peer_received_bytes_total",
                              "plane=\"control\"")},
         call_trees_.get()});
    run_events_.owner = owner_.get();
    parts_.Add(suspicions_);
    parts_.Add(*limits_);
    parts_.Add(
        MakeDomainFlows({config_.identity.instance,
                         config_.identity.failure_domain, config_.link_mbps},
                        {parts_.Sender(), routes_, flows_,
                         [this] { return owner_->Activity(); }, metrics_}));
    std::error_code error = transport_->Listen(config_.listen_address);
    if (error) return error;
    loop_.Watch(executor_.WakeDescriptor(), EPOLLIN,
                [this](uint32_t) { executor_.RunPending(); });
    transport_->SetLossListener([this](const std::string& owner, bool reached) {
      OnLinkLost(owner, reached);
    });
    transport_->SetReceiver([this](const std::string& from,
                                   const ReturnPath& path,
                                   const wire::Envelope& message) {
      OnPeerMessage(from, path, message);
    });
    thread_ = std::thread([this] { RunThread(); });
    return {};
  }

  void BeginStop(Instant end) override {
    executor_.Post([this, end] {
      const Instant now = clock_.Now();
      entry_->BeginStop(end, now);
      owner_->BeginStop(end, now);
    });
  }

  void Drain() override {
    executor_.Post([this] {
      entry_->Stop();
      owner_->Drain(clock_.Now());
    });
  }

  bool Idle() override {
    return RunAndWait(executor_,
                      [this] { return entry_->Idle() && owner_->Idle(); });
  }

  Instant LatestDeadline() override {
    return RunAndWait(executor_, [this] {
      return std::max(entry_->LatestDeadline(), owner_->LatestDeadline());
    });
  }

  std::vector<UnfinishedRequest> CutOpenRequests() override {
    return RunAndWait(executor_, [this] {
      const Instant now = clock_.Now();
      std::vector<UnfinishedRequest> cut = entry_->CutOpenCalls(now);
      std::ranges::move(owner_->CutOpenAttempts(now), std::back_inserter(cut));
      return cut;
    });
  }

  bool HasUnsentOutput() override {
    return RunAndWait(executor_,
                      [this] { return transport_->Usage().unsent_bytes > 0; });
  }

  void Stop() override {
    if (!thread_.joinable()) return;
    executor_.Post([this] { stopping_ = true; });
    thread_.join();
    upstream_.reset();
  }

  LogFields Usage() const override {
    const EntryUsage entry = entry_->Usage();
    const OwnerUsage owner = owner_->Usage();
    const TransportUsage links = transport_->Usage();
    const UpstreamClientUsage upstream = upstream_->Usage();
    return {
        {"calls", std::to_string(entry.calls)},
        {"attempts", std::to_string(entry.attempts)},
        {"call_bytes", std::to_string(entry.request_bytes)},
        {"jobs", std::to_string(owner.jobs)},
        {"job_bytes", std::to_string(owner.request_bytes + owner.answer_bytes)},
        {"runs", std::to_string(upstream.runs)},
        {"idle_handles", std::to_string(upstream.idle_handles)},
        {"links", std::to_string(links.connections)},
        {"link_unsent", std::to_string(links.unsent_bytes)},
        {"link_send_capacity", std::to_string(links.send_capacity)},
        {"link_receive_capacity", std::to_string(links.receive_capacity)}};
  }

  // CallHandler.
  CallHandle Begin(CallRequest request,
                   std::unique_ptr<CallerStream> stream) override {
    const CallHandle call = ++last_call_;
    // Deferred, because the stream must not be called before the handle is
    // returned.
    auto shared =
        std::make_shared<std::unique_ptr<CallerStream>>(std::move(stream));
    loop_.Defer([this, call, request = std::move(request), shared]() mutable {
      entry_->Begin(call, std::move(request), std::move(*shared), clock_.Now());
    });
    return call;
  }

  void Consumed(CallHandle call, uint64_t bytes) override {
    entry_->OnCallerConsumed(call, bytes, clock_.Now());
  }

  void Cancel(CallHandle call) override {
    entry_->OnCallerDisconnected(call, clock_.Now());
  }

  // LocalUpstreamListener.
  void OnLocalUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                       const AdmissionConfig& limits) override {
    executor_.Post([this, upstream, limits] {
      const Instant now = clock_.Now();
      suspicions_.OnLocalUpstream(upstream, now);
      owner_->SetUpstream(upstream, limits, now);
      upstream_closed_ =
          !upstream.has_value() || upstream->state == UpstreamState::kDraining;
      ReportLocalRuns();
    });
  }

  void AfterUpdates(std::function<void()> done) override {
    executor_.Post(std::move(done));
  }

  LimitStatus StatusOfLimit(const std::string& customer) override {
    return RunAndWait(executor_, [&] { return limits_->StatusOf(customer); });
  }

  // OwnerLink.
  void Start(const std::string& owner, CallAttempt attempt) override {
    if (IsSelf(owner)) {
      loop_.Defer([this, attempt = std::move(attempt)]() mutable {
        owner_->OnStart("", std::move(attempt), clock_.Now());
      });
      return;
    }
    wire::Envelope message;
    ToWire(attempt, *message.mutable_call_start());
    message.mutable_call_start()->set_sent_at_micros(
        static_cast<uint64_t>(clock_.SinceBoot().count()));
    Send(owner, message);
  }

  void Credit(const std::string& owner, const AttemptId& attempt,
              uint64_t bytes) override {
    if (IsSelf(owner)) {
      loop_.Defer([this, attempt, bytes] {
        owner_->OnCredit("", attempt, bytes, clock_.Now());
      });
      return;
    }
    wire::Envelope message;
    message.mutable_call_credit()->set_attempt(attempt);
    message.mutable_call_credit()->set_bytes(bytes);
    Send(owner, message);
  }

  void Cancel(const std::string& owner, const AttemptId& attempt) override {
    if (IsSelf(owner)) {
      loop_.Defer(
          [this, attempt] { owner_->OnCancel("", attempt, clock_.Now()); });
      return;
    }
    wire::Envelope message;
    message.mutable_call_cancel()->set_attempt(attempt);
    Send(owner, message);
  }

  void SendBody(const std::string& owner, const AttemptId& attempt,
                uint64_t offset, std::string data) override {
    wire::Envelope message;
    wire::BodyPiece* piece = message.mutable_body_piece();
    piece->set_attempt(attempt);
    piece->set_offset(offset);
    piece->set_data(std::move(data));
    Send(owner, message);
  }

  // EntryLink.
  void SendHead(const EntryRef& entry, const AttemptId& attempt,
                const AnswerHead& head, const LoadReport& load) override {
    wire::Envelope message = HeadMessage(attempt, head, load);
    SendToEntry(entry, message);
  }

  void SendChunk(const EntryRef& entry, const AttemptId& attempt,
                 uint64_t sequence, std::string data) override {
    wire::Envelope message;
    wire::AnswerChunk* out = message.mutable_answer_chunk();
    out->set_attempt(attempt);
    out->set_sequence(sequence);
    out->set_data(std::move(data));
    SendToEntry(entry, message);
  }

  void SendEnd(const EntryRef& entry, const AttemptId& attempt,
               const AnswerEnd& end, const LoadReport& load) override {
    wire::Envelope message = EndMessage(attempt, end, load);
    SendToEntry(entry, message);
  }

  void SendRefused(const EntryRef& entry, const AttemptId& attempt,
                   const Refusal& refusal, const LoadReport& load) override {
    wire::Envelope message = RefusedMessage(attempt, refusal, load);
    SendToEntry(entry, message);
  }

  void SendGrant(const EntryRef& entry, const AttemptId& attempt,
                 uint64_t until) override {
    wire::Envelope message;
    message.mutable_body_grant()->set_attempt(attempt);
    message.mutable_body_grant()->set_until(until);
    SendToEntry(entry, message);
  }

  // OwnerListener.
  void OnSuspicions(const std::string& service,
                    const std::vector<QuarantineNotice>& notices) override {
    suspicions_.Spread(service, notices);
  }

  void OnUpstreamDown(const UpstreamAnnouncement& upstream) override {
    announcements_->ReportDown(upstream);
  }

 private:
  static ChooserConfig ChooserConfigOf(const RequestLoopConfig& config,
                                       FlowRouter& flows) {
    ChooserConfig choice = config.choice;
    choice.flows = choice.plans_enabled ? &flows : nullptr;
    choice.instance = config.identity.instance;
    choice.failure_domain = config.identity.failure_domain;
    choice.seed = config.seed;
    return choice;
  }

  bool IsSelf(const std::string& owner) const {
    return owner == config_.request_address;
  }

  void RunThread() {
    while (!stopping_) {
      const bool idle = entry_->Idle() && owner_->Idle();
      transport_->Poll(executor_.WakeDescriptor(),
                       idle ? kIdleTickInterval : kTickInterval);
      const Instant now = clock_.Now();
      if (now < next_tick_) continue;
      next_tick_ = now + kTickInterval;
      entry_->OnTick(now);
      owner_->OnTick(now);
      if (upstream_closed_) ReportLocalRuns();
      parts_.OnTick(now);
      if (now < next_link_check_) continue;
      next_link_check_ = now + kLinkCheckInterval;
      CheckLinks(now);
    }
  }

  /// For the completion of a rollout that closes the local upstream's version.
  void ReportLocalRuns() {
    if (config_.rollouts == nullptr) return;
    config_.rollouts->SetLocalRuns(
        {upstream_closed_, static_cast<uint32_t>(owner_->Usage().jobs)});
  }

  void Send(const std::string& owner, wire::Envelope& message) {
    links_.OnSent(owner, clock_.Now());
    transport_->Send(owner, message);
  }

  void SendToEntry(const EntryRef& entry, wire::Envelope& message) {
    if (!entry.empty()) {
      transport_->Reply(entry, message);
      return;
    }
    loop_.Defer(
        [this, message] { PassToEntry(message, *entry_, clock_.Now()); });
  }

  /// Pings owners with open attempts and replaces unresponsive links.
  void CheckLinks(Instant now) {
    const LinkFindings findings = links_.Check(
        [this](const std::string& owner) {
          return entry_->OpenAttempts(owner);
        },
        now);
    for (const std::string& owner : findings.unresponsive) {
      Log(LogLevel::kWarning, "requests",
          "The link to " + owner + " is unresponsive and is replaced.");
      metrics_.CounterOf("silent_links_total", "").Add();
      transport_->Reset(owner);
      loop_.Defer(
          [this, owner] { entry_->OnOwnerLost(owner, true, clock_.Now()); });
    }
    for (const LinkPingDue& due : findings.pings) {
      wire::Envelope message;
      wire::LinkPing* ping = message.mutable_link_ping();
      ping->set_sequence(due.sequence);
      for (const AttemptId& attempt : due.attempts) ping->add_attempts(attempt);
      transport_->Send(due.owner, message);
    }
  }

  void OnLinkLost(const std::string& owner, bool reached) {
    links_.Remove(owner);
    if (entry_->OpenAttempts(owner).empty()) return;
    metrics_.CounterOf("lost_links_total", "").Add();
    entry_->OnOwnerLost(owner, reached, clock_.Now());
  }

  void OnPeerMessage(const std::string& from, const ReturnPath& path,
                     const wire::Envelope& message) {
    const Instant now = clock_.Now();
    links_.OnReceived(from, now);
    switch (message.body_case()) {
      case wire::Envelope::kCallStart:
        OnCallStart(path, message.call_start(), now);
        break;
      case wire::Envelope::kCallCredit:
        owner_->OnCredit(path, message.call_credit().attempt(),
                         message.call_credit().bytes(), now);
        break;
      case wire::Envelope::kCallCancel:
        owner_->OnCancel(path, message.call_cancel().attempt(), now);
        break;
      case wire::Envelope::kBodyPiece:
        owner_->OnBodyPiece(message.body_piece().attempt(),
                            message.body_piece().offset(),
                            message.body_piece().data(), now);
        break;
      case wire::Envelope::kLinkPing:
        owner_->OnEntryAlive({message.link_ping().attempts().begin(),
                              message.link_ping().attempts().end()},
                             now);
        SendPong(path, message.link_ping());
        break;
      case wire::Envelope::kLinkPong:
        for (const std::string& attempt :
             message.link_pong().unknown_attempts()) {
          entry_->OnAttemptUnknown(attempt, now);
        }
        break;
      default:
        if (!parts_.OnPeerMessage(from, path, message, now)) {
          PassToEntry(message, *entry_, now);
        }
    }
  }

  void OnCallStart(const ReturnPath& path, const wire::CallStart& start,
                   Instant now) {
    CallAttempt attempt = FromWire(start);
    delay_.Discount(path,
                    Duration(static_cast<int64_t>(start.sent_at_micros())),
                    clock_.SinceBoot(), attempt);
    owner_->OnStart(path, std::move(attempt), now);
  }

  void SendPong(const ReturnPath& path, const wire::LinkPing& ping) {
    wire::Envelope message;
    wire::LinkPong* pong = message.mutable_link_pong();
    pong->set_sequence(ping.sequence());
    for (const std::string& attempt : ping.attempts()) {
      if (!owner_->HasAttempt(attempt)) pong->add_unknown_attempts(attempt);
    }
    transport_->Reply(path, message);
  }

  RequestLoopConfig config_;
  const Clock& clock_;
  Metrics& metrics_;
  const RouteTableHolder& routes_;
  Executor executor_;
  EventLoop loop_;
  std::unique_ptr<PeerTransport> transport_;
  FlowRouter flows_;
  std::unique_ptr<UpstreamChooser> chooser_;
  std::unique_ptr<Quarantine> quarantine_;
  std::unique_ptr<CallTrees> call_trees_ = MakeCallTrees();
  std::unique_ptr<CustomerLimits> limits_;
  std::unique_ptr<Entry> entry_;
  RunEventsForwarder run_events_;
  std::unique_ptr<UpstreamClient> upstream_;
  std::unique_ptr<Owner> owner_;
  SuspicionExchange suspicions_;
  RequestParts parts_{config_.identity, config_.request_address, *transport_,
                      loop_, clock_};
  AnnouncementSink* announcements_ = nullptr;
  LinkWatch links_;
  LinkDelay delay_;
  CallHandle last_call_ = 0;
  Instant next_tick_;
  Instant next_link_check_;
  bool stopping_ = false;
  bool upstream_closed_ = false;  ///< It gets no new requests.
  std::thread thread_;
};

}  // namespace

std::unique_ptr<RequestLoop> MakeRequestLoop(const RequestLoopConfig& config,
                                             const Clock& clock,
                                             Metrics& metrics,
                                             const RouteTableHolder& routes) {
  return std::make_unique<RequestLoopImpl>(config, clock, metrics, routes);
}

}  // namespace hibiscusglade
