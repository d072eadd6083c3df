#include "owner/owner.h"

#include <map>
#include <utility>

#include "admission/admission_result_codes.h"
#include "base/log.h"
#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "owner/internal/answer_sender.h"
#include "owner/internal/claim_writer.h"
#include "owner/internal/death_watch.h"
#include "owner/internal/job.h"
#include "owner/internal/slot_gate.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

/// Commands that may wait for the ledger at once. More would only wait past
/// their callers' deadlines and need a burn each.
constexpr size_t kMaxUnsettled = 64;
/// Without a sign of life for this long an entry counts as gone. Entries ping
/// every 500 ms.
constexpr Duration kEntrySilence = std::chrono::seconds(3);
/// An answer that the ledger has not kept after this time goes out anyway.
constexpr Duration kFinishPatience = std::chrono::milliseconds(500);
/// Between probes of an upstream that is down.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
/// Longest answer of known length that is held until it is whole: one chunk.
constexpr int64_t kMaxHeldAnswerBytes = int64_t{64} * 1024;
/// Refusals for want of room are counted, not written: the entry's line has
/// their code.
constexpr uint32_t kLogLinesPerSecond = 10;
/// Room for an answer's head in the kept answer.
constexpr size_t kKeptHeadBytes = size_t{8} * 1024;

class OwnerImpl : public Owner {
 public:
  OwnerImpl(std::string instance, const OwnerParts& parts)
      : parts_(parts),
        writer_(std::move(instance), parts.claims, parts.clock),
        sender_(parts.entries, parts.metrics,
                [this](const std::string& request_class) {
                  return Load(request_class);
                }) {}

  void OnStart(const EntryRef& entry, const CallAttempt& attempt,
               Instant now) override {
    if (by_attempt_.contains(attempt.id)) return;
    Job job;
    job.entry = entry;
    job.attempt = attempt;
    job.deadline = now + attempt.remaining;
    if (attempt.objective != Duration{}) {
      job.objective = now + attempt.objective;
    }
    job.entry_heard = now;
    job.fingerprint = FingerprintOf(attempt.request);
    if (auto refused = CheckStart(job, now)) {
      sender_.Refused(job, *refused, Certainty::kNotRun);
      return;
    }
    const SlotRequestId id = ++last_id_;
    by_attempt_[attempt.id] = id;
    jobs_[id] = std::move(job);
    if (attempt.NeedsClaim()) {
      AskForClaim(id);
    } else {
      AskForSlot(id, now);
    }
  }

  void OnCredit(const EntryRef&, const AttemptId& attempt, uint64_t bytes,
                Instant now) override {
    auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) return;
    jobs_[found->second].entry_heard = now;
    parts_.upstream.Allow(found->second, bytes);
  }

  void OnCancel(const EntryRef&, const AttemptId& attempt,
                Instant now) override {
    auto found = by_attempt_.find(attempt);
    if (found != by_attempt_.end()) Cancel(found->second, now);
  }

  void OnEntryAlive(const std::vector<AttemptId>& attempts,
                    Instant now) override {
    for (const AttemptId& attempt : attempts) {
      auto found = by_attempt_.find(attempt);
      if (found != by_attempt_.end()) jobs_[found->second].entry_heard = now;
    }
  }

  void OnTick(Instant now) override {
    Follow(admission_->OnTick(now), now);
    CheckJobs(now);
    if (blamed_.empty()) blamed_ = death_watch_.TakeDeath(now);
    if (blamed_.empty() && death_watch_.Idle()) RefuseLost();
    CheckUpstream(now);
  }

  void SetUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                   const AdmissionConfig& config, Instant now) override {
    upstream_ = upstream;
    AdmissionConfig limits = config;
    limits.slots = upstream.has_value() ? upstream->slots : 0;
    limits.draining = UpstreamDrains();
    Follow(admission_->Configure(limits, now), now);
  }

  void Drain(Instant now) override {
    draining_ = true;
    Follow(admission_->Drain(now), now);
  }

  bool Knows(const AttemptId& attempt) const override {
    return by_attempt_.contains(attempt);
  }

  bool Idle() const override {
    return jobs_.empty() && writer_.Unsettled() == 0;
  }

  void OnRunHead(RunId run, const AnswerHead& head, Instant) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    job->head = head;
    if (!job->attempt.NeedsClaim() && !HeldWhole(*job)) sender_.Head(*job);
  }

  void OnRunData(RunId run, std::string data, Instant) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    if (job->streaming) {
      sender_.Data(*job, data);
      return;
    }
    job->kept_body += data;
    if (job->kept_body.size() + kKeptHeadBytes <= kMaxKeptAnswerBytes) return;
    // Too large to be kept: it is not held back any longer.
    sender_.Head(*job);
    sender_.Data(*job, std::exchange(job->kept_body, {}));
  }

  void OnRunEnd(RunId run, Instant now) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    parts_.quarantine.OnRunSurvived(job->fingerprint, now);
    death_watch_.OnEnded(run);
    if (job->attempt.NeedsClaim()) {
      FinishClaim(run, now);
      return;
    }
    if (!job->streaming) {
      sender_.Head(*job);
      sender_.Data(*job, std::exchange(job->kept_body, {}));
    }
    sender_.End(*job);
    EndRun(run, now);
    Forget(run);
  }

  void OnRunFailed(RunId run, const RunFailure& failure, Instant now) override {
    Job* job = Find(run);
    if (job == nullptr) return;
    if (failure.progress == RunProgress::kNotSent) {
      if (failure.connection_lost) down_ = true;
      EndRun(run, now);
      GiveUp(run, AdmissionCode::kNotServing);
      return;
    }
    if (log_budget_.Take(now)) {
      Log(LogLevel::kInfo, "owner", "A run failed: " + failure.reason + ".",
          {{"request", job->attempt.request.request_id},
           {"upstream", job->attempt.upstream_id},
           {"progress", std::to_string(static_cast<int>(failure.progress))},
           {"version", std::to_string(job->attempt.version)},
           {"ms", std::to_string((now - job->run_began).count() / 1000)},
           {"lines_left_out", std::to_string(log_budget_.TakeLeftOut())}});
    }
    if (failure.progress == RunProgress::kRejected) {
      EndRun(run, now);
      GiveUp(run, failure.other_upstream ? AdmissionCode::kNotServing
                                         : AdmissionCode::kRejected);
      return;
    }
    if (failure.connection_lost) {
      // A retry elsewhere must not overtake the news of a suspicion.
      death_watch_.OnLost(run, job->fingerprint, gate_.Running(), now);
      job->stage = JobStage::kLost;
      job->failure = failure.reason;
      EndRun(run, now);
      return;
    }
    sender_.Refused(*job, RoutingCode::kAnswerBroken, Certainty::kUnknown,
                    failure.reason);
    EndRun(run, now);
    Forget(run);
  }

  void OnProbed(bool reachable, Instant now) override {
    probing_ = false;
    down_ = !reachable;
    if (reachable) told_down_ = false;
    const std::vector<Digest> blamed = std::exchange(blamed_, {});
    if (down_ && upstream_.has_value()) {
      if (!blamed.empty()) Blame(blamed, now);
      if (!std::exchange(told_down_, true)) {
        parts_.listener.OnUpstreamDown(*upstream_);
      }
      RefuseWaiting(AdmissionCode::kNotServing, now);
    }
    if (death_watch_.Idle()) RefuseLost();
  }

 private:
  LoadReport Load(const std::string& request_class) const {
    LoadReport load = admission_->Load(request_class);
    load.serving = load.serving && !down_ && !UpstreamDrains();
    return load;
  }

  /// A short answer is passed on once it is whole, so that one that breaks off
  /// can still be tried elsewhere.
  static bool HeldWhole(const Job& job) {
    return job.head.content_length >= 0 &&
           job.head.content_length <= kMaxHeldAnswerBytes;
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
    if (!upstream_.has_value() || down_) {
      return make_error_code(AdmissionCode::kNotServing);
    }
    if (upstream_->service != attempt.service) {
      return make_error_code(AdmissionCode::kWrongService);
    }
    if (attempt.NeedsClaim() && attempt.request.idempotency_key.empty()) {
      return make_error_code(ClaimsCode::kMissingKey);
    }
    if (attempt.NeedsClaim() && writer_.Unsettled() >= kMaxUnsettled) {
      return make_error_code(AdmissionCode::kQueueFull);
    }
    const QuarantineDecision verdict =
        parts_.quarantine.Decide(job.fingerprint, now);
    if (verdict == QuarantineDecision::kRefuse) {
      return make_error_code(AdmissionCode::kQuarantined);
    }
    return std::nullopt;
  }

  void AskForSlot(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kWaiting;
    Follow(admission_->OnRequest(
               {id, job.attempt.request_class, job.attempt.request.caller,
                job.deadline, job.objective, Duration{}},
               now),
           now);
  }

  void AskForClaim(SlotRequestId id) {
    Job& job = jobs_[id];
    job.stage = JobStage::kClaiming;
    writer_.Claim(job, [this, id](const ClaimOutcome& outcome) {
      OnClaimed(id, outcome, parts_.clock.Now());
    });
  }

  void OnClaimed(SlotRequestId id, const ClaimOutcome& outcome, Instant now) {
    Job* job = Find(id);
    if (job == nullptr) return;
    if (outcome.error == ClaimsCode::kLedgerSilent) {
      GiveUp(id, ClaimsCode::kLedgerSilent);
      return;
    }
    if (!outcome.error) {
      if (!job->give_up && now >= job->deadline) {
        job->give_up = AdmissionCode::kDeadlineTooNear;
      }
      if (job->give_up) {
        GiveUp(id, job->give_up);
      } else {
        AskForSlot(id, now);
      }
      return;
    }
    if (outcome.error == ClaimsCode::kAlreadyDone) {
      sender_.Kept(*job, outcome.kept_answer);
    } else {
      const ResultCodeInfo* info = FindResultCode(outcome.error);
      sender_.Refused(*job, outcome.error,
                      info == nullptr ? Certainty::kUnknown : info->certainty);
    }
    Forget(id);
  }

  void FinishClaim(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kFinishing;
    job.answer_ready = now;
    if (!job.streaming) {
      job.pending_answer =
          EncodeKeptAnswer({job.head, std::exchange(job.kept_body, {})});
    }
    // The answer goes out once it is kept, so that a resend gets the same.
    writer_.Finish(job, job.pending_answer,
                   [this, id](const ClaimOutcome&) { Deliver(id); });
    EndRun(id, now);
  }

  /// Passes on the answer of a request that ran, whether kept or not.
  void Deliver(SlotRequestId id) {
    Job* job = Find(id);
    if (job == nullptr) return;
    if (job->streaming) {
      sender_.End(*job);
    } else {
      sender_.Kept(*job, job->pending_answer);
    }
    Forget(id);
  }

  /// Refuses what did not run. "Not run" of a claimed attempt is said only
  /// once the ledger has burnt it.
  void GiveUp(SlotRequestId id, const std::error_code& code,
              Duration retry_after = {}) {
    Job& job = jobs_[id];
    if (!job.attempt.NeedsClaim()) {
      sender_.Refused(job, code, Certainty::kNotRun, "", retry_after);
      Forget(id);
      return;
    }
    job.stage = JobStage::kBurning;
    writer_.Burn(job, [this, id, code](const ClaimOutcome& outcome) {
      Job* burnt = Find(id);
      if (burnt == nullptr) return;
      if (outcome.error) {
        sender_.Refused(*burnt, ClaimsCode::kLedgerSilent, Certainty::kUnknown);
      } else {
        sender_.Refused(*burnt, code, Certainty::kNotRun);
      }
      Forget(id);
    });
  }

  void Cancel(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    const std::error_code gone = RoutingCode::kCallerGone;
    switch (job.stage) {
      case JobStage::kClaiming:
        job.give_up = gone;
        break;
      case JobStage::kWaiting:
        admission_->CancelQueued(id);
        GiveUp(id, gone);
        break;
      case JobStage::kHeld:
        GiveUp(id, gone);
        EndRun(id, now);
        break;
      case JobStage::kRunning:
        // A request that may run only once is seen through; its answer is
        // kept for the resend.
        if (!job.attempt.repeatable) break;
        parts_.upstream.Cancel(id);
        Forget(id);
        EndRun(id, now);
        break;
      case JobStage::kLost:
      case JobStage::kBurning:
      case JobStage::kFinishing:
        break;
    }
  }

  void CheckJobs(Instant now) {
    std::vector<SlotRequestId> ids;
    for (const auto& [id, job] : jobs_) ids.push_back(id);
    for (SlotRequestId id : ids) {
      if (Job* job = Find(id)) CheckJob(id, *job, now);
    }
  }

  void CheckJob(SlotRequestId id, Job& job, Instant now) {
    const bool late = now >= job.deadline;
    if (!job.entry.empty() && now - job.entry_heard > kEntrySilence) {
      Cancel(id, now);
    } else if (job.stage == JobStage::kClaiming && late && !job.give_up) {
      job.give_up = AdmissionCode::kDeadlineTooNear;
    } else if (job.stage == JobStage::kHeld && late) {
      GiveUp(id, AdmissionCode::kWaitedTooLong);
      EndRun(id, now);
    } else if (job.stage == JobStage::kFinishing &&
               now - job.answer_ready >= kFinishPatience) {
      Deliver(id);
    }
  }

  void CheckUpstream(Instant now) {
    if (probing_ || !upstream_.has_value()) return;
    if (blamed_.empty() && (!down_ || now < next_probe_)) return;
    probing_ = true;
    next_probe_ = now + kProbeInterval;
    parts_.upstream.Probe(upstream_->address);
  }

  void Blame(const std::vector<Digest>& running, Instant now) {
    parts_.metrics.CounterOf("upstream_deaths_total", "").Add();
    Log(LogLevel::kWarning, "owner",
        "The upstream died while " + std::to_string(running.size()) +
            " requests ran.");
    parts_.listener.OnSuspicions(
        upstream_->service, parts_.quarantine.OnUpstreamDeath(running, now));
  }

  std::vector<SlotRequestId> TicketsAt(JobStage stage) const {
    std::vector<SlotRequestId> ids;
    for (const auto& [id, job] : jobs_) {
      if (job.stage == stage) ids.push_back(id);
    }
    return ids;
  }

  void RefuseLost() {
    for (SlotRequestId id : TicketsAt(JobStage::kLost)) {
      const Job& job = jobs_[id];
      sender_.Refused(job, RoutingCode::kAnswerBroken, Certainty::kUnknown,
                      job.failure);
      Forget(id);
    }
  }

  void RefuseWaiting(AdmissionCode code, Instant) {
    for (SlotRequestId id : TicketsAt(JobStage::kWaiting)) {
      admission_->CancelQueued(id);
      GiveUp(id, code);
    }
  }

  void Follow(const AdmissionEffects& effects, Instant now) {
    for (SlotRequestId id : effects.admitted) {
      Job* job = Find(id);
      if (job == nullptr) continue;
      job->stage = JobStage::kHeld;
      job->suspect = parts_.quarantine.Decide(job->fingerprint, now) !=
                     QuarantineDecision::kRun;
      gate_.Add(id, job->suspect);
    }
    for (const SlotRefusal& refusal : effects.refused) {
      if (Find(refusal.id) == nullptr) continue;
      GiveUp(refusal.id, refusal.code, refusal.retry_after);
    }
    for (SlotRequestId id : gate_.TakeReady()) StartRun(id, now);
  }

  void StartRun(SlotRequestId id, Instant now) {
    Job& job = jobs_[id];
    job.stage = JobStage::kRunning;
    job.run_began = now;
    job.attempt.remaining = job.deadline - now;
    job.attempt.upstream_id = upstream_->id;
    parts_.upstream.Start(id, upstream_->address, job.attempt);
  }

  /// Gives a slot back, also one of a run that never began.
  void EndRun(SlotRequestId id, Instant now) {
    const Job* job = Find(id);
    const bool began = job != nullptr && job->run_began != Instant{};
    const Duration service_time = began ? now - job->run_began : Duration{};
    gate_.Remove(id);
    Follow(admission_->OnFinished(id, service_time, now), now);
  }

  void Forget(SlotRequestId id) {
    auto found = jobs_.find(id);
    if (found == jobs_.end()) return;
    by_attempt_.erase(found->second.attempt.id);
    jobs_.erase(found);
  }

  Job* Find(SlotRequestId id) {
    auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
  }

  OwnerParts parts_;
  ClaimWriter writer_;
  AnswerSender sender_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
  SlotGate gate_;
  DeathWatch death_watch_;
  std::optional<UpstreamAnnouncement> upstream_;
  std::map<SlotRequestId, Job> jobs_;
  std::map<AttemptId, SlotRequestId> by_attempt_;
  SlotRequestId last_id_ = 0;
  LogBudget log_budget_{kLogLinesPerSecond};
  bool draining_ = false;
  bool down_ = false;  ///< The upstream takes no connection.
  bool told_down_ = false;
  bool probing_ = false;
  Instant next_probe_;
  std::vector<Digest> blamed_;  ///< Waits for the probe's word.
};

}  // namespace

std::unique_ptr<Owner> MakeOwner(std::string instance,
                                 const OwnerParts& parts) {
  return std::make_unique<OwnerImpl>(std::move(instance), parts);
}

}  // namespace hibiscusglade
