#include "owner/owner.h"

#include <utility>

#include "admission/admission_result_codes.h"
#include "calls/stop_limit.h"
#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "owner/internal/answer_sender.h"
#include "owner/internal/claim_writer.h"
#include "owner/internal/job_table.h"
#include "owner/internal/run_reporter.h"
#include "owner/internal/slot_gate.h"
#include "owner/internal/upstream_death_detector.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

/// Claim commands that may wait for the ledger at the same time. Further ones
/// would be answered after their callers' deadlines and need a revocation each.
constexpr size_t kMaxPendingCommands = 64;
/// An attempt is cancelled when its entry has sent nothing about it for this
/// long. Entries ping every 500 ms.
constexpr Duration kEntryTimeout = std::chrono::seconds(3);
/// Longest wait for the ledger to store an answer; it is sent anyway then.
constexpr Duration kFinishTimeout = std::chrono::milliseconds(500);
/// Interval between probes of an upstream that is down.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
/// Longest answer of known length that is buffered until complete: one chunk.
constexpr int64_t kMaxBufferedAnswerBytes = int64_t{64} * 1024;
/// Bytes of a kept answer set aside for its head.
constexpr size_t kHeadReserveBytes = size_t{8} * 1024;

class OwnerImpl : public Owner {
 public:
  OwnerImpl(std::string instance, const OwnerParts& parts)
      : parts_(parts),
        writer_(std::move(instance), parts.claims, parts.clock),
        sender_(parts.entries, parts.metrics, parts.clock, parts.link_mbps,
                parts.link_traffic, [this](const std::string& request_class) {
                  return Load(request_class);
                }) {}

  void OnStart(const EntryRef& entry, const CallAttempt& attempt,
               Instant now) override {
    if (HasAttempt(attempt.id)) return;
    Job job;
    job.entry = entry;
    job.attempt = attempt;
    job.deadline = now + attempt.remaining;
    if (attempt.objective != Duration{}) {
      job.objective = now + attempt.objective;
    }
    job.accepted_at = now;
    job.entry_seen_at = now;
    job.fingerprint = FingerprintOf(attempt.request);
    if (auto refused = CheckStart(job, now)) {
      sender_.SendRefusal(job, *refused, Certainty::kNotRun);
      return;
    }
    if (auto wait = sender_.WaitForRoom(job, now)) {
      sender_.SendRefusal(job, AdmissionCode::kQueueFull, Certainty::kNotRun,
                          "", *wait);
      return;
    }
    sender_.OnAccepted(job);
    const SlotRequestId id = jobs_.Add(std::move(job));
    if (attempt.NeedsClaim()) {
      RequestClaim(id);
    } else {
      RequestSlot(id, now);
    }
  }

  void OnCredit(const EntryRef&, const AttemptId& attempt, uint64_t bytes,
                Instant now) override {
    const auto id = jobs_.IdOf(attempt);
    if (!id.has_value()) return;
    jobs_[*id].entry_seen_at = now;
    parts_.upstream.AddCredit(*id, bytes);
  }

  void OnCancel(const EntryRef&, const AttemptId& attempt,
                Instant now) override {
    if (const auto id = jobs_.IdOf(attempt)) {
      Cancel(*id, now);
    } else {
      sender_.Drop(attempt);
    }
  }

  void OnEntryAlive(const std::vector<AttemptId>& attempts,
                    Instant now) override {
    for (const AttemptId& attempt : attempts) {
      if (const auto id = jobs_.IdOf(attempt)) jobs_[*id].entry_seen_at = now;
    }
  }

  void OnTick(Instant now) override {
    Apply(admission_->OnTick(now), now);
    CheckJobs(now);
    sender_.SendQueued(now);
    if (suspects_.empty()) suspects_ = death_detector_.TakeSuspects(now);
    if (suspects_.empty() && death_detector_.Idle()) RefuseConnectionLost();
    CheckUpstream(now);
  }

  void SetUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                   const AdmissionConfig& config, Instant now) override {
    limits_ = config;
    const bool replaced = upstream.has_value() && IsReplaced(*upstream);
    if (upstream.has_value() && !replaced) replaced_.reset();
    UseUpstream(replaced ? std::nullopt : upstream, now);
  }

  void BeginStop(Instant end, Instant now) override {
    stop_limit_.Set(end);
    RefuseQueued(RoutingCode::kStopsTooSoon, end);
    RefuseHeld(RoutingCode::kStopsTooSoon, now, end);
    for (SlotRequestId id : jobs_.IdsAt(JobStage::kClaiming, end)) {
      Job& job = jobs_[id];
      if (!job.pending_refusal) {
        job.pending_refusal = RoutingCode::kStopsTooSoon;
      }
    }
  }

  std::vector<UnfinishedRequest> CutOpenAttempts(Instant now) override {
    std::vector<UnfinishedRequest> cut;
    for (SlotRequestId id : jobs_.Ids()) {
      const Job& job = jobs_[id];
      if (job.stage == JobStage::kFinishing) {
        SendFinishedAnswer(id);
        continue;
      }
      if (!job.entry.empty()) {
        cut.push_back({job.attempt.request.request_id, job.attempt.route,
                       now - job.accepted_at, job.deadline - now});
      }
      sender_.SendRefusal(job, RoutingCode::kCutByStop, Certainty::kUnknown);
      gate_.Remove(id);
      RemoveJob(id);
    }
    return cut;
  }

  void Drain(Instant now) override {
    draining_ = true;
    Apply(admission_->Drain(now), now);
  }

  bool HasAttempt(const AttemptId& attempt) const override {
    return jobs_.IdOf(attempt).has_value() || sender_.HasQueued(attempt);
  }

  bool Idle() const override {
    return jobs_.Empty() && sender_.Idle() && writer_.PendingCommands() == 0;
  }

  OwnerUsage Usage() const override { return jobs_.Usage(); }

  void OnRunHead(RunId run, const AnswerHead& head, Instant) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    job->head = head;
    if (!job->attempt.NeedsClaim() && !IsBuffered(*job)) sender_.SendHead(*job);
  }

  void OnRunData(RunId run, std::string data, Instant) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    if (job->streaming) {
      sender_.SendData(*job, data);
      return;
    }
    job->body += data;
    if (job->body.size() + kHeadReserveBytes <= kMaxKeptAnswerBytes) return;
    // Too large to buffer and to keep in the ledger: stream it.
    sender_.SendHead(*job);
    sender_.SendData(*job, std::exchange(job->body, {}));
  }

  void OnRunEnd(RunId run, Instant now) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    parts_.quarantine.OnRunSurvived(job->fingerprint, now);
    death_detector_.OnRunEnded(run);
    if (job->attempt.NeedsClaim()) {
      FinishClaim(run, now);
      return;
    }
    if (!job->streaming) {
      sender_.SendHead(*job);
      sender_.SendData(*job, std::exchange(job->body, {}));
    }
    sender_.SendEnd(*job);
    ReleaseSlot(run, now);
    RemoveJob(run);
  }

  void OnRunFailed(RunId run, const RunFailure& failure, Instant now) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    if (failure.progress == RunProgress::kNotSent) {
      if (failure.connection_lost) down_ = true;
      ReleaseSlot(run, now);
      RefuseNotRun(run, AdmissionCode::kNotServing);
      return;
    }
    reporter_.LogFailure(*job, failure, now);
    if (failure.progress == RunProgress::kRejected) {
      if (failure.other_upstream) EndAnnouncementOf(*job, now);
      ReleaseSlot(run, now);
      RefuseNotRun(run, failure.other_upstream ? AdmissionCode::kReplaced
                                               : AdmissionCode::kRejected);
      return;
    }
    if (failure.connection_lost) {
      // The refusal waits for the death check: a retry elsewhere must not
      // arrive before the suspicion has been sent to the other owners.
      death_detector_.OnConnectionLost(run, job->fingerprint, gate_.Running(),
                                       now);
      job->stage = JobStage::kConnectionLost;
      job->connection_error = failure.reason;
      ReleaseSlot(run, now);
      return;
    }
    sender_.SendRefusal(*job, RoutingCode::kAnswerBroken, Certainty::kUnknown,
                        failure.reason);
    ReleaseSlot(run, now);
    RemoveJob(run);
  }

  void OnProbed(bool reachable, Instant now) override {
    probing_ = false;
    const std::vector<Digest> suspects = std::exchange(suspects_, {});
    if (!reachable && upstream_.has_value() && !suspects.empty()) {
      ReportDeath(suspects, now);
    }
    if (!std::exchange(probe_outdated_, false)) SetReachable(reachable);
    if (death_detector_.Idle()) RefuseConnectionLost();
  }

 private:
  /// @return whether an announcement is of the upstream that is in use.
  bool IsCurrent(const UpstreamAnnouncement& upstream) const {
    return upstream_.has_value() && upstream.id == upstream_->id &&
           upstream.started_at_ms == upstream_->started_at_ms &&
           upstream.address == upstream_->address;
  }

  /// @return whether an announcement is of the upstream that was last found to
  /// be replaced.
  bool IsReplaced(const UpstreamAnnouncement& upstream) const {
    return replaced_.has_value() && upstream.id == replaced_->id &&
           upstream.started_at_ms == replaced_->started_at_ms;
  }

  void UseUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                   Instant now) {
    if (upstream.has_value() && !IsCurrent(*upstream)) {
      // What is known of the one before says nothing about this one.
      down_ = false;
      down_notified_ = false;
      probe_outdated_ = probing_;
    }
    upstream_ = upstream;
    AdmissionConfig limits = limits_;
    limits.slots = upstream.has_value() ? upstream->slots : 0;
    limits.draining = UpstreamDrains();
    Apply(admission_->Configure(limits, now), now);
    if (UpstreamDrains()) RefuseHeld(AdmissionCode::kDraining, now);
    if (!upstream_.has_value()) RefuseHeld(AdmissionCode::kNotServing, now);
  }

  /// Ends the announcement of the upstream that a run was sent to, as another
  /// one answers at its address. Only an announcement of another id or start
  /// time takes its place.
  void EndAnnouncementOf(const Job& job, Instant now) {
    if (!upstream_.has_value() || job.attempt.upstream_id != upstream_->id ||
        job.upstream_started_at_ms != upstream_->started_at_ms) {
      return;
    }
    Log(LogLevel::kWarning, "owner",
        "Another upstream uses the announced address.",
        {{"upstream", upstream_->id},
         {"address", upstream_->address},
         {"born", std::to_string(upstream_->started_at_ms)}});
    if (upstream_->id.empty()) {
      // A later announcement can't be told from that one: ask the address.
      SetReachable(false);
      return;
    }
    replaced_ = upstream_;
    parts_.listener.OnUpstreamDown(*upstream_);
    UseUpstream(std::nullopt, now);
  }

  void SetReachable(bool reachable) {
    down_ = !reachable;
    if (reachable) down_notified_ = false;
    if (!down_ || !upstream_.has_value()) return;
    if (!std::exchange(down_notified_, true)) {
      parts_.listener.OnUpstreamDown(*upstream_);
    }
    RefuseQueued(AdmissionCode::kNotServing);
  }

  LoadReport Load(const std::string& request_class) const {
    LoadReport load = admission_->Load(request_class);
    load.serving = load.serving && !down_ && !UpstreamDrains();
    return load;
  }

  /// @return whether the answer is sent only once it is complete. Short answers
  /// are, so that the request can be retried elsewhere if the answer breaks
  /// off.
  static bool IsBuffered(const Job& job) {
    return job.head.content_length >= 0 &&
           job.head.content_length <= kMaxBufferedAnswerBytes;
  }

  bool UpstreamDrains() const {
    return upstream_.has_value() &&
           upstream_->state == UpstreamState::kDraining;
  }

  std::optional<std::error_code> CheckStart(Job& job, Instant now) {
    const CallAttempt& attempt = job.attempt;
    if (draining_ || UpstreamDrains()) {
      return make_error_code(AdmissionCode::kDraining);
    }
    if (stop_limit_.EndsBefore(job.deadline)) {
      return make_error_code(RoutingCode::kStopsTooSoon);
    }
    if (!upstream_.has_value() || down_) {
      return make_error_code(AdmissionCode::kNotServing);
    }
    if (upstream_->service != attempt.service) {
      return make_error_code(AdmissionCode::kWrongService);
    }
    if (attempt.NeedsClaim() && attempt.request.idempotency_key.empty()) {
      return make_error_code(ClaimsCode::kMissingKey);
    }
    if (attempt.NeedsClaim() &&
        writer_.PendingCommands() >= kMaxPendingCommands) {
      return make_error_code(AdmissionCode::kQueueFull);
    }
    const QuarantineDecision decision =
        parts_.quarantine.Decide(job.fingerprint, now);
    if (decision == QuarantineDecision::kRefuse) {
      return make_error_code(AdmissionCode::kQuarantined);
    }
    return std::nullopt;
  }

  void RequestSlot(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kQueued;
    Apply(admission_->OnRequest(
              {id, job.attempt.request_class, job.attempt.request.caller,
               job.deadline, job.objective, Duration{}},
              now),
          now);
  }

  void RequestClaim(SlotRequestId id) {
    Job& job = jobs_[id];
    job.stage = JobStage::kClaiming;
    writer_.Claim(job, [this, id](const ClaimOutcome& outcome) {
      OnClaimOutcome(id, outcome, parts_.clock.Now());
    });
  }

  void OnClaimOutcome(SlotRequestId id, const ClaimOutcome& outcome,
                      Instant now) {
    Job* job = Find(id);
    if (job == nullptr) return;
    if (outcome.error == ClaimsCode::kLedgerUnresponsive) {
      RefuseNotRun(id, ClaimsCode::kLedgerUnresponsive);
      return;
    }
    if (!outcome.error) {
      if (!job->pending_refusal && now >= job->deadline) {
        job->pending_refusal = AdmissionCode::kDeadlineTooNear;
      }
      if (job->pending_refusal) {
        RefuseNotRun(id, job->pending_refusal);
      } else {
        RequestSlot(id, now);
      }
      return;
    }
    if (outcome.error == ClaimsCode::kAlreadyDone) {
      sender_.SendKeptAnswer(*job, outcome.kept_answer);
    } else {
      const ResultCodeInfo* info = FindResultCode(outcome.error);
      sender_.SendRefusal(
          *job, outcome.error,
          info == nullptr ? Certainty::kUnknown : info->certainty);
    }
    RemoveJob(id);
  }

  void FinishClaim(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kFinishing;
    job.answer_completed = now;
    if (!job.streaming) {
      job.encoded_answer =
          EncodeKeptAnswer({job.head, std::exchange(job.body, {})});
    }
    // Send the answer after the ledger has stored it, so that a resend of the
    // request gets the same answer.
    writer_.Finish(job, job.encoded_answer,
                   [this, id](const ClaimOutcome&) { SendFinishedAnswer(id); });
    ReleaseSlot(id, now);
  }

  /// Sends the answer of a request that ran, whether the ledger stored it or
  /// not.
  void SendFinishedAnswer(SlotRequestId id) {
    Job* job = Find(id);
    if (job == nullptr) return;
    if (job->streaming) {
      sender_.SendEnd(*job);
    } else {
      sender_.SendKeptAnswer(*job, job->encoded_answer);
    }
    RemoveJob(id);
  }

  /// Refuses an attempt that did not run. An attempt that needs a claim is
  /// reported as not run only after the ledger has revoked its claim.
  void RefuseNotRun(SlotRequestId id, const std::error_code& code,
                    Duration retry_after = {}) {
    Job& job = jobs_[id];
    if (!job.attempt.NeedsClaim()) {
      sender_.SendRefusal(job, code, Certainty::kNotRun, "", retry_after);
      RemoveJob(id);
      return;
    }
    job.stage = JobStage::kRevoking;
    writer_.Revoke(job, [this, id, code](const ClaimOutcome& outcome) {
      Job* revoked = Find(id);
      if (revoked == nullptr) return;
      if (outcome.error) {
        sender_.SendRefusal(*revoked, ClaimsCode::kLedgerUnresponsive,
                            Certainty::kUnknown);
      } else {
        sender_.SendRefusal(*revoked, code, Certainty::kNotRun);
      }
      RemoveJob(id);
    });
  }

  void Cancel(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    const std::error_code caller_disconnected =
        RoutingCode::kCallerDisconnected;
    switch (job.stage) {
      case JobStage::kClaiming:
        job.pending_refusal = caller_disconnected;
        break;
      case JobStage::kQueued:
        admission_->CancelQueued(id);
        RefuseNotRun(id, caller_disconnected);
        break;
      case JobStage::kAdmitted:
        RefuseNotRun(id, caller_disconnected);
        ReleaseSlot(id, now);
        break;
      case JobStage::kRunning:
        // A request that may not be repeated finishes; the ledger keeps its
        // answer for a resend.
        if (!job.attempt.repeatable) break;
        parts_.upstream.Cancel(id);
        RemoveJob(id);
        ReleaseSlot(id, now);
        break;
      case JobStage::kConnectionLost:
      case JobStage::kRevoking:
      case JobStage::kFinishing:
        break;
    }
  }

  void CheckJobs(Instant now) {
    for (SlotRequestId id : jobs_.Ids()) {
      if (Job* job = Find(id)) CheckJob(id, *job, now);
    }
  }

  void CheckJob(SlotRequestId id, Job& job, Instant now) {
    const bool past_deadline = now >= job.deadline;
    if (!job.entry.empty() && now - job.entry_seen_at > kEntryTimeout) {
      Cancel(id, now);
    } else if (job.stage == JobStage::kClaiming && past_deadline &&
               !job.pending_refusal) {
      job.pending_refusal = AdmissionCode::kDeadlineTooNear;
    } else if (job.stage == JobStage::kAdmitted && past_deadline) {
      RefuseNotRun(id, AdmissionCode::kWaitedTooLong);
      ReleaseSlot(id, now);
    } else if (job.stage == JobStage::kFinishing &&
               now - job.answer_completed >= kFinishTimeout) {
      SendFinishedAnswer(id);
    }
  }

  void CheckUpstream(Instant now) {
    if (probing_ || !upstream_.has_value()) return;
    if (suspects_.empty() && (!down_ || now < next_probe_)) return;
    probing_ = true;
    next_probe_ = now + kProbeInterval;
    parts_.upstream.Probe(upstream_->address);
  }

  void ReportDeath(const std::vector<Digest>& running, Instant now) {
    parts_.metrics.CounterOf("upstream_deaths_total", "").Add();
    RunReporter::LogDeath(running.size());
    parts_.listener.OnSuspicions(
        upstream_->service, parts_.quarantine.OnUpstreamDeath(running, now));
  }

  void RefuseConnectionLost() {
    for (SlotRequestId id : jobs_.IdsAt(JobStage::kConnectionLost)) {
      const Job& job = jobs_[id];
      sender_.SendRefusal(job, RoutingCode::kAnswerBroken, Certainty::kUnknown,
                          job.connection_error);
      RemoveJob(id);
    }
  }

  /// Refuses the queued attempts whose deadline is later than `after`.
  void RefuseQueued(const std::error_code& code, Instant after = {}) {
    for (SlotRequestId id : jobs_.IdsAt(JobStage::kQueued, after)) {
      admission_->CancelQueued(id);
      RefuseNotRun(id, code);
    }
  }

  /// Refuses attempts that have a slot but wait behind a suspect, if their
  /// deadline is later than `after`.
  void RefuseHeld(const std::error_code& code, Instant now,
                  Instant after = {}) {
    const std::vector<SlotRequestId> held =
        jobs_.IdsAt(JobStage::kAdmitted, after);
    // All at once, so that none starts when one before it is removed.
    for (SlotRequestId id : held) gate_.Remove(id);
    for (SlotRequestId id : held) {
      RefuseNotRun(id, code);
      ReleaseSlot(id, now);
    }
  }

  void Apply(const AdmissionEffects& effects, Instant now) {
    for (SlotRequestId id : effects.admitted) {
      Job* job = Find(id);
      if (job == nullptr) continue;
      job->stage = JobStage::kAdmitted;
      job->suspect = parts_.quarantine.Decide(job->fingerprint, now) !=
                     QuarantineDecision::kRun;
      gate_.Add(id, job->suspect);
    }
    for (const SlotRefusal& refusal : effects.refused) {
      if (Find(refusal.id) == nullptr) continue;
      RefuseNotRun(refusal.id, refusal.code, refusal.retry_after);
    }
    for (SlotRequestId id : gate_.TakeReady()) StartRun(id, now);
  }

  void StartRun(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kRunning;
    job.run_started = now;
    job.attempt.remaining = job.deadline - now;
    job.attempt.upstream_id = upstream_->id;
    job.upstream_started_at_ms = upstream_->started_at_ms;
    parts_.upstream.Start(id, upstream_->address, job.attempt);
  }

  /// Releases the slot of a run, whether or not it has started.
  void ReleaseSlot(SlotRequestId id, Instant now) {
    const Job* job = Find(id);
    const bool started = job != nullptr && job->run_started != Instant{};
    const Duration service_time = started ? now - job->run_started : Duration{};
    gate_.Remove(id);
    Apply(admission_->OnFinished(id, service_time, now), now);
  }

  void RemoveJob(SlotRequestId id) {
    const Job* job = Find(id);
    if (job == nullptr) return;
    sender_.OnRemoved(*job);
    jobs_.Remove(id);
  }

  Job* Find(SlotRequestId id) { return jobs_.Find(id); }

  OwnerParts parts_;
  ClaimWriter writer_;
  AnswerSender sender_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
  SlotGate gate_;
  UpstreamDeathDetector death_detector_;
  std::optional<UpstreamAnnouncement> upstream_;
  /// The upstream whose announcement was ended, as another one answers at its
  /// address.
  std::optional<UpstreamAnnouncement> replaced_;
  AdmissionConfig limits_;
  JobTable jobs_;
  StopLimit stop_limit_;
  RunReporter reporter_;
  bool draining_ = false;
  bool down_ = false;           ///< The upstream accepts no connections.
  bool down_notified_ = false;  ///< The listener was notified of it.
  bool probing_ = false;
  bool probe_outdated_ = false;  ///< The probe is of the upstream before.
  Instant next_probe_;
  std::vector<Digest> suspects_;  ///< Of a death that a probe must confirm.
};

}  // namespace

std::unique_ptr<Owner> MakeOwner(std::string instance,
                                 const OwnerParts& parts) {
  return std::make_unique<OwnerImpl>(std::move(instance), parts);
}

}  // namespace hibiscusglade
