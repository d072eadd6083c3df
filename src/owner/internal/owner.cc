#include "owner/owner.h"

#include <utility>

#include "admission/admission_result_codes.h"
#include "claims/claims_result_codes.h"
#include "owner/internal/answer_sender.h"
#include "owner/internal/begun_work.h"
#include "owner/internal/body_receiver.h"
#include "owner/internal/claim_writer.h"
#include "owner/internal/job_closer.h"
#include "owner/internal/job_table.h"
#include "owner/internal/run_reporter.h"
#include "owner/internal/slot_gate.h"
#include "owner/internal/start_check.h"
#include "owner/internal/upstream_watch.h"
#include "owner/internal/waiting_jobs.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

/// An attempt is cancelled when its entry has sent nothing about it for this
/// long. Entries ping every 500 ms.
constexpr Duration kEntryTimeout = std::chrono::seconds(3);
/// Longest wait for the ledger to store an answer; it is sent anyway then.
constexpr Duration kFinishTimeout = std::chrono::milliseconds(500);

class OwnerImpl : public Owner {
 public:
  OwnerImpl(std::string instance, const OwnerParts& parts)
      : parts_(parts),
        writer_(std::move(instance), parts.claims, parts.clock),
        sender_(parts.entries, parts.metrics, parts.clock, parts.link_mbps,
                parts.link_traffic,
                [this](const std::string& request_class) {
                  return Load(request_class);
                }),
        receiver_(parts.entries, parts.metrics, parts.link_mbps,
                  parts.link_received),
        closer_(jobs_, writer_, sender_, receiver_),
        upstream_(parts_),
        start_check_(upstream_, writer_, parts.quarantine) {}

  void OnStart(const EntryRef& entry, CallAttempt attempt,
               Instant now) override {
    if (HasAttempt(attempt.id)) return;
    Job job = MakeJob(entry, std::move(attempt), now);
    const bool offered = job.attempt.offered_bytes > 0;
    if (auto refused = start_check_.ReasonToRefuse(job, now)) {
      sender_.SendRefusal(job, *refused, Certainty::kNotRun);
      return;
    }
    const LoadReport load = Load(job.attempt.request_class);
    auto wait = begun_work_.OnStart(job.attempt, load, now);
    if (!wait) wait = sender_.WaitForRoom(job, now);
    if (offered && !wait) wait = receiver_.WaitForRoom(job, load, now);
    if (wait.has_value()) {
      sender_.SendRefusal(job, AdmissionCode::kQueueFull, Certainty::kNotRun,
                          "", *wait);
      return;
    }
    sender_.OnAccepted(job);
    const SlotRequestId id = jobs_.Add(std::move(job));
    if (offered) {
      jobs_[id].stage = JobStage::kReceiving;
      receiver_.Accept(jobs_[id], load);
      receiver_.SendGrants(now);
    } else {
      Proceed(id, now);
    }
  }

  void OnBodyPiece(const AttemptId& attempt, uint64_t offset,
                   const std::string& data, Instant now) override {
    const auto id = jobs_.IdOf(attempt);
    if (!id.has_value()) return;
    Job& job = jobs_[*id];
    if (job.stage != JobStage::kReceiving) return;
    job.entry_seen_at = now;
    const PieceResult result = receiver_.OnPiece(job, offset, data);
    if (result == PieceResult::kMisplaced) {
      closer_.RefuseNotRun(*id, AdmissionCode::kBodyBroken);
    } else if (result == PieceResult::kComplete) {
      job.fingerprint = FingerprintOf(job.attempt.request);
      if (auto refused = start_check_.ReasonToRefuse(job, now)) {
        closer_.RefuseNotRun(*id, *refused);
      } else {
        Proceed(*id, now);
      }
    }
    receiver_.SendGrants(now);
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
    receiver_.SendGrants(now);
    upstream_.Examine(now);
    if (!upstream_.MayHaveDied()) closer_.RefuseConnectionLost();
    upstream_.SendProbe(now);
  }

  void SetUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                   const AdmissionConfig& config, Instant now) override {
    limits_ = config;
    upstream_.Set(upstream, gate_.Running(), now);
    ConfigureAdmission(now);
  }

  void HoldRuns(bool hold, Instant now) override {
    gate_.Hold(hold);
    Apply({}, now);
  }

  void BeginStop(Instant end, Instant now) override {
    start_check_.BeginStop(end);
    waiting_.RefuseQueued(RoutingCode::kStopsTooSoon, end);
    RefuseHeld(RoutingCode::kStopsTooSoon, now, end);
    waiting_.RefuseClaiming(RoutingCode::kStopsTooSoon, end);
  }

  Instant LatestDeadline() const override { return jobs_.LatestDeadline(); }

  std::vector<UnfinishedRequest> CutOpenAttempts(Instant now) override {
    std::vector<UnfinishedRequest> cut;
    for (SlotRequestId id : jobs_.Ids()) {
      const Job& job = jobs_[id];
      if (job.stage == JobStage::kFinishing) {
        closer_.SendFinishedAnswer(id);
        continue;
      }
      if (!job.entry.empty()) {
        cut.push_back({job.attempt.request.request_id, job.attempt.route,
                       now - job.accepted_at, job.deadline - now});
      }
      sender_.SendRefusal(job, RoutingCode::kCutByStop, Certainty::kUnknown);
      gate_.Remove(id);
      closer_.Remove(id);
    }
    return cut;
  }

  void Drain(Instant now) override {
    start_check_.Drain();
    waiting_.RefuseReceiving(AdmissionCode::kDraining);
    Apply(admission_->Drain(now), now);
  }

  bool HasAttempt(const AttemptId& attempt) const override {
    return jobs_.IdOf(attempt).has_value() || sender_.HasQueued(attempt);
  }

  bool Idle() const override {
    return jobs_.Empty() && sender_.Idle() && writer_.PendingCommands() == 0;
  }

  OwnerUsage Usage() const override { return jobs_.Usage(); }

  UpstreamActivity Activity() const override {
    const LoadReport load = Load("");
    if (!upstream_.Current().has_value() || !load.serving) return {};
    return {upstream_.Current()->service, load.slots, load.running, completed_};
  }

  void OnRunHead(RunId run, const AnswerHead& head, Instant) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    job->head = head;
    if (!job->attempt.NeedsClaim() && !job->HasShortAnswer())
      sender_.SendHead(*job);
  }

  void OnRunData(RunId run, std::string data, Instant) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    if (job->streaming) {
      sender_.SendData(*job, data);
      return;
    }
    job->body += data;
    if (!job->HasTooMuchToHold()) return;
    sender_.SendHead(*job);
    sender_.SendData(*job, std::exchange(job->body, {}));
  }

  void OnRunEnd(RunId run, Instant now) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    parts_.quarantine.OnRunSurvived(job->fingerprint, now);
    begun_work_.OnRunEnded(*job, now);
    if (job->attempt.NeedsClaim()) {
      closer_.FinishClaim(run, now);
      ReleaseSlot(run, now);
      return;
    }
    if (!job->streaming) {
      sender_.SendHead(*job);
      sender_.SendData(*job, std::exchange(job->body, {}));
    }
    sender_.SendEnd(*job);
    ReleaseSlot(run, now);
    closer_.Remove(run);
  }

  void OnRunFailed(RunId run, const RunFailure& failure, Instant now) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    if (failure.progress == RunProgress::kNotSent) {
      if (failure.connection_lost) upstream_.OnConnectionRefused();
      ReleaseSlot(run, now);
      closer_.RefuseNotRun(run, AdmissionCode::kNotServing);
      return;
    }
    reporter_.LogFailure(*job, failure, now);
    if (failure.progress == RunProgress::kRejected) {
      if (failure.other_upstream) EndAnnouncementOf(*job, now);
      ReleaseSlot(run, now);
      closer_.RefuseNotRun(run, failure.other_upstream
                                    ? AdmissionCode::kReplaced
                                    : AdmissionCode::kRejected);
      return;
    }
    if (failure.connection_lost) {
      // The refusal waits for the death check: a retry elsewhere must not
      // arrive before the suspicion has been sent to the other owners.
      upstream_.OnConnectionLost(run, job->fingerprint, gate_.Running(), now);
      job->stage = JobStage::kConnectionLost;
      job->connection_error = failure.reason;
      ReleaseSlot(run, now);
      return;
    }
    sender_.SendRefusal(*job, RoutingCode::kAnswerBroken, Certainty::kUnknown,
                        failure.reason);
    ReleaseSlot(run, now);
    closer_.Remove(run);
  }

  void OnProbed(bool reachable, Instant now) override {
    if (upstream_.OnProbed(reachable, gate_.Running(), now)) {
      waiting_.RefuseQueued(AdmissionCode::kNotServing);
    }
    if (!upstream_.MayHaveDied()) closer_.RefuseConnectionLost();
  }

 private:
  /// Applies the limits, and the state of the upstream in use.
  void ConfigureAdmission(Instant now) {
    const auto& upstream = upstream_.Current();
    AdmissionConfig limits = limits_;
    limits.slots = upstream.has_value() ? upstream->slots : 0;
    limits.draining = upstream_.Drains();
    Apply(admission_->Configure(limits, now), now);
    if (upstream_.Drains()) {
      waiting_.RefuseReceiving(AdmissionCode::kDraining);
      RefuseHeld(AdmissionCode::kDraining, now);
    } else if (!upstream.has_value()) {
      waiting_.RefuseReceiving(AdmissionCode::kNotServing);
      RefuseHeld(AdmissionCode::kNotServing, now);
    }
  }

  void EndAnnouncementOf(const Job& job, Instant now) {
    if (!upstream_.EndAnnouncementOf(job)) return;
    if (upstream_.Current().has_value()) {
      waiting_.RefuseQueued(AdmissionCode::kNotServing);
    } else {
      ConfigureAdmission(now);
    }
  }

  LoadReport Load(const std::string& request_class) const {
    LoadReport load = admission_->Load(request_class);
    load.serving = load.serving && !upstream_.Down() && !upstream_.Drains();
    load.takes_offers = true;
    load.begun_work = begun_work_.IsClass(request_class);
    return load;
  }

  /// The request of a job is whole.
  void Proceed(SlotRequestId id, Instant now) {
    if (jobs_[id].attempt.NeedsClaim()) {
      RequestClaim(id);
    } else {
      RequestSlot(id, now);
    }
  }

  void RequestSlot(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kQueued;
    Apply(admission_->OnRequest(
              {id, job.attempt.request_class, job.attempt.request.caller,
               job.deadline, job.objective, Duration{},
               job.attempt.request.customer, job.attempt.priority,
               begun_work_.Contains(job.attempt)},
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
      closer_.RefuseNotRun(id, ClaimsCode::kLedgerUnresponsive);
      return;
    }
    if (!outcome.error) {
      if (!job->pending_refusal && now >= job->deadline) {
        job->pending_refusal = AdmissionCode::kDeadlineTooNear;
      }
      if (job->pending_refusal) {
        closer_.RefuseNotRun(id, job->pending_refusal);
      } else {
        RequestSlot(id, now);
      }
      return;
    }
    closer_.EndUnclaimed(id, outcome);
  }

  void Cancel(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    const std::error_code caller_disconnected =
        RoutingCode::kCallerDisconnected;
    switch (job.stage) {
      case JobStage::kClaiming:
        job.pending_refusal = caller_disconnected;
        break;
      case JobStage::kReceiving:
        closer_.RefuseNotRun(id, caller_disconnected);
        break;
      case JobStage::kQueued:
        admission_->CancelQueued(id);
        closer_.RefuseNotRun(id, caller_disconnected);
        break;
      case JobStage::kAdmitted:
        closer_.RefuseNotRun(id, caller_disconnected);
        ReleaseSlot(id, now);
        break;
      case JobStage::kRunning:
        // A request that may not be repeated finishes; the ledger keeps its
        // answer for a resend.
        if (!job.attempt.repeatable) break;
        parts_.upstream.Cancel(id);
        closer_.Remove(id);
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
    } else if (job.stage == JobStage::kReceiving && past_deadline) {
      closer_.RefuseNotRun(id, AdmissionCode::kDeadlineTooNear);
    } else if (job.stage == JobStage::kAdmitted && past_deadline) {
      closer_.RefuseNotRun(id, AdmissionCode::kWaitedTooLong);
      ReleaseSlot(id, now);
    } else if (job.stage == JobStage::kFinishing &&
               now - job.answer_completed >= kFinishTimeout) {
      closer_.SendFinishedAnswer(id);
    }
  }

  /// Refuses attempts that have a slot but wait behind a suspect, if their
  /// deadline is later than `after`.
  void RefuseHeld(const std::error_code& code, Instant now,
                  Instant after = {}) {
    for (SlotRequestId id : waiting_.RefuseHeld(code, after)) {
      ReleaseSlot(id, now);
    }
  }

  void Apply(const AdmissionEffects& effects, Instant now) {
    for (SlotRequestId id : effects.admitted) {
      Job* job = Find(id);
      if (job == nullptr) continue;
      job->stage = JobStage::kAdmitted;
      gate_.Add(id);
    }
    for (const SlotRefusal& refusal : effects.refused) {
      if (Find(refusal.id) == nullptr) continue;
      closer_.RefuseNotRun(refusal.id, refusal.code, refusal.retry_after);
    }
    const auto is_suspect = [this, now](SlotRequestId id) {
      return Decide(id, now) == QuarantineDecision::kRunAlone;
    };
    for (SlotRequestId id : gate_.TakeReady(is_suspect)) {
      if (Decide(id, now) == QuarantineDecision::kRefuse) {
        // Its suspicion became known while it waited.
        closer_.RefuseNotRun(id, AdmissionCode::kQuarantined);
        ReleaseSlot(id, now);
      } else {
        StartRun(id, now);
      }
    }
  }

  QuarantineDecision Decide(SlotRequestId id, Instant now) {
    return parts_.quarantine.Decide(jobs_[id].fingerprint, now);
  }

  void StartRun(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kRunning;
    job.run_started = now;
    job.attempt.remaining = job.deadline - now;
    const UpstreamAnnouncement& upstream = *upstream_.Current();
    job.attempt.upstream_id = upstream.id;
    job.upstream_started_at_ms = upstream.started_at_ms;
    parts_.upstream.Start(id, upstream.address, TakeAttemptToRun(job));
  }

  /// Releases the slot of a run, whether or not it has started.
  void ReleaseSlot(SlotRequestId id, Instant now) {
    const Job* job = Find(id);
    const bool started = job != nullptr && job->run_started != Instant{};
    const Duration service_time = started ? now - job->run_started : Duration{};
    if (started) ++completed_;
    gate_.Remove(id);
    upstream_.OnRunEnded(id);
    Apply(admission_->OnFinished(id, service_time, now), now);
  }

  Job* Find(SlotRequestId id) { return jobs_.Find(id); }

  OwnerParts parts_;
  BegunWork begun_work_{parts_.call_trees, parts_.metrics};
  JobTable jobs_;
  ClaimWriter writer_;
  AnswerSender sender_;
  BodyReceiver receiver_;
  JobCloser closer_;
  UpstreamWatch upstream_;
  StartCheck start_check_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
  SlotGate gate_;
  WaitingJobs waiting_{jobs_, *admission_, gate_, closer_};
  AdmissionConfig limits_;
  RunReporter reporter_;
  uint64_t completed_ = 0;
};

}  // namespace

std::unique_ptr<Owner> MakeOwner(std::string instance,
                                 const OwnerParts& parts) {
  return std::make_unique<OwnerImpl>(std::move(instance), parts);
}

}  // namespace hibiscusglade
