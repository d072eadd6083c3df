#include "entry/entry.h"

#include <utility>
#include <vector>

#include "admission/admission_result_codes.h"
#include "base/digest.h"
#include "calls/answer_status.h"
#include "calls/stop_limit.h"
#include "entry/internal/attempt_policy.h"
#include "entry/internal/body_sender.h"
#include "entry/internal/call_intake.h"
#include "entry/internal/call_reporter.h"
#include "entry/internal/call_table.h"
#include "entry/internal/rollout_observer.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr Duration kMinRetryPause = std::chrono::milliseconds(10);
constexpr uint64_t kJitterSteps = 8;

class EntryImpl : public Entry {
 public:
  EntryImpl(std::string instance, uint64_t incarnation, const EntryParts& parts)
      : instance_(std::move(instance)),
        attempt_id_prefix_(instance_ + "/" + std::to_string(incarnation) + "/"),
        parts_(parts),
        reporter_(parts.metrics),
        rollouts_(parts.rollouts),
        intake_(parts.routes, parts.limits, stop_limit_,
                DigestOf(attempt_id_prefix_), parts.rollouts) {}

  void Begin(CallHandle handle, CallRequest request,
             std::unique_ptr<CallerStream> stream, Instant now) override {
    OpenCall call;
    call.request = std::move(request);
    call.stream = std::move(stream);
    call.began = now;
    if (const auto refusal = intake_.Open(call, now)) {
      Refuse(call, *refusal, now);
      return;
    }
    policy_.OnCall(call.service, call.limits);
    SendAttempt(handle, calls_.Add(handle, std::move(call)), false, now);
  }

  void OnCallerConsumed(CallHandle handle, uint64_t bytes, Instant) override {
    const OpenCall* call = calls_.Find(handle);
    if (call == nullptr) return;
    const OpenAttempt* attempt = calls_.FindAttempt(call->answering);
    if (attempt == nullptr) return;
    parts_.owners.Credit(attempt->owner, call->answering, bytes);
  }

  void OnCallerDisconnected(CallHandle handle, Instant now) override {
    OpenCall* call = calls_.Find(handle);
    if (call == nullptr) return;
    call->answering.clear();
    CancelOpen(*call, now);
    reporter_.Count("call_refusals_total", RoutingCode::kCallerDisconnected);
    calls_.Remove(handle);
  }

  void OnAnswerHead(const AttemptId& id, const AnswerHead& head,
                    const LoadReport& load, Instant now) override {
    OpenCall* call = RecordLoadAndFindCall(id, load, now);
    if (call == nullptr || !call->answering.empty()) return;
    if (!IsAnswerStatus(head.status)) {
      AbandonAnswer(id, now);
      return;
    }
    const OpenAttempt& attempt = *calls_.FindAttempt(id);
    policy_.OnFirstByte(call->route->name, now - attempt.sent);
    if (attempt.is_hedge) reporter_.Count("hedges_total", "won");
    call->answering = id;
    calls_.FindAttempt(id)->status = head.status;
    parts_.chooser.OnAdmitted(attempt.instance, call->route->request_class);
    CancelOpen(*call, now);
    if (HeldAnswer::Holds(head)) {
      call->held = HeldAnswer{head, {}, now};
    } else {
      call->stream->OnHead(head);
    }
  }

  void OnAnswerChunk(const AttemptId& id, uint64_t sequence, std::string data,
                     Instant now) override {
    const OpenAttempt* attempt = calls_.FindAttempt(id);
    if (attempt == nullptr) return;
    const CallHandle handle = attempt->call;
    OpenCall& call = *calls_.Find(handle);
    if (call.answering != id || sequence != call.next_chunk) {
      AbandonAnswer(id, now);
      return;
    }
    call.Receive(std::move(data));
  }

  void OnAnswerEnd(const AttemptId& id, const AnswerEnd& end,
                   const LoadReport& load, Instant now) override {
    OpenCall* call = RecordLoadAndFindCall(id, load, now);
    if (call == nullptr) return;
    const CallHandle handle = calls_.FindAttempt(id)->call;
    const AnswerEnd seen{call->next_chunk, call->bytes, call->digest};
    if (call->answering != id || seen != end) {
      AbandonAnswer(id, now);
      return;
    }
    EndAttempt(id, AttemptOutcome::kAnswered, now);
    parts_.chooser.OnAnswerSize(call->service, call->route->request_class,
                                call->bytes);
    if (call->tried.size() > 1) {
      reporter_.LogOutcome(*call, {}, "run", now);
    }
    if (call->held.has_value()) call->ForwardHeld();
    call->stream->OnEnd();
    parts_.metrics.HistogramOf("call_seconds", "").Record(now - call->began);
    calls_.Remove(handle);
  }

  void OnAnswerRefused(const AttemptId& id, const Refusal& refusal,
                       const LoadReport& load, Instant now) override {
    OpenCall* call = RecordLoadAndFindCall(id, load, now);
    if (call == nullptr) return;
    const OpenAttempt attempt = *calls_.FindAttempt(id);
    if (!attempt.offered || load.takes_offers ||
        refusal.code != AdmissionCode::kWrongService) {
      HandleFailedAttempt(id, refusal, now);
      return;
    }
    // An older daemon: it gets the body with the request.
    EndAttempt(id, AttemptOutcome::kCancelled, now);
    StartAttempt(*call, {attempt.call, attempt.instance, attempt.owner, now});
  }

  void OnBodyGranted(const AttemptId& id, uint64_t until) override {
    OpenAttempt* attempt = calls_.FindAttempt(id);
    if (attempt == nullptr || !attempt->offered) return;
    SendGranted(id, calls_.Find(attempt->call)->request.body, until, *attempt,
                parts_.owners);
  }

  void OnOwnerLost(const std::string& owner, bool reached,
                   Instant now) override {
    // One failure, however many attempts were open.
    AttemptOutcome outcome = AttemptOutcome::kFailed;
    for (const AttemptId& id : OpenAttempts(owner)) {
      if (reached) {
        const Refusal refusal = OwnerLostRefusal(id);
        const bool unknown = refusal.certainty == Certainty::kUnknown;
        HandleFailedAttempt(
            id, refusal, now,
            unknown ? std::exchange(outcome, AttemptOutcome::kCancelled)
                    : outcome);
      } else {
        HandleFailedAttempt(
            id, RefusalOf(RoutingCode::kOwnerUnreachable, Certainty::kNotRun),
            now);
      }
    }
  }

  void OnAttemptUnknown(const AttemptId& id, Instant now) override {
    HandleFailedAttempt(id, OwnerLostRefusal(id), now);
  }

  void OnTick(Instant now) override {
    for (CallHandle handle : calls_.Handles()) {
      OpenCall& call = *calls_.Find(handle);
      if (now >= call.CurrentDeadline()) {
        FinishUnanswered(handle, call, RoutingCode::kDeadlinePassed, now);
      } else if (call.retry_at.has_value() && now >= *call.retry_at) {
        call.retry_at.reset();
        call.tried.clear();
        SendAttempt(handle, call, false, now);
      } else {
        ConsiderHedge(handle, call, now);
      }
      ForwardHeldTooLong(handle, now);
    }
    reporter_.PublishEjections(parts_.chooser.Counts());
  }

  void BeginStop(Instant end, Instant now) override {
    stop_limit_.Set(end);
    for (CallHandle handle : calls_.Handles()) {
      OpenCall& call = *calls_.Find(handle);
      const bool waits_for_retry = call.retry_at.has_value();
      if (waits_for_retry && stop_limit_.EndsBefore(call.answer_deadline)) {
        RefuseForStop(handle, call, now);
      }
    }
  }

  void Stop() override { intake_.Stop(); }

  Instant LatestDeadline() const override { return calls_.LatestDeadline(); }

  std::vector<UnfinishedRequest> CutOpenCalls(Instant now) override {
    std::vector<UnfinishedRequest> cut;
    for (CallHandle handle : calls_.Handles()) {
      const OpenCall& call = *calls_.Find(handle);
      cut.push_back({call.request.request_id, call.route->name,
                     now - call.began, call.CurrentDeadline() - now});
      FinishUnanswered(handle, call, RoutingCode::kCutByStop, now);
    }
    return cut;
  }

  std::vector<AttemptId> OpenAttempts(const std::string& owner) const override {
    return calls_.AttemptsAt(owner);
  }

  bool Idle() const override { return calls_.Empty(); }

  EntryUsage Usage() const override {
    return {calls_.Calls(), calls_.Attempts(), calls_.RequestBytes()};
  }

 private:
  void ForwardHeldTooLong(CallHandle handle, Instant now) {
    OpenCall* call = calls_.Find(handle);
    if (call != nullptr && call->HeldTooLong(now)) call->ForwardHeld();
  }

  /// A part of an attempt's answer is missing.
  void AbandonAnswer(const AttemptId& id, Instant now) {
    const OpenAttempt& attempt = *calls_.FindAttempt(id);
    const CallHandle handle = attempt.call;
    if (calls_.Find(handle)->HeadForwarded()) {
      FinishBroken(handle, now);
      return;
    }
    parts_.owners.Cancel(attempt.owner, id);
    HandleFailedAttempt(
        id, RefusalOf(RoutingCode::kAnswerBroken, Certainty::kUnknown), now);
  }

  /// Passes the load report of an answer to the chooser.
  /// @return the call of the attempt; nullptr when the attempt is not open.
  OpenCall* RecordLoadAndFindCall(const AttemptId& id, const LoadReport& load,
                                  Instant now) {
    const OpenAttempt* attempt = calls_.FindAttempt(id);
    if (attempt == nullptr) return nullptr;
    OpenCall* call = calls_.Find(attempt->call);
    intake_.OnLoad(*call, load);
    parts_.chooser.OnLoad(attempt->instance, call->route->request_class, load,
                          now);
    return call;
  }

  void SendAttempt(CallHandle handle, OpenCall& call, bool is_hedge,
                   Instant now) {
    if (stop_limit_.EndsBefore(call.answer_deadline)) {
      if (!is_hedge) RefuseForStop(handle, call, now);
      return;
    }
    if (!call.tried.empty()) call.UseOtherUpstreams();
    const std::vector<UpstreamTarget>& candidates = *call.upstreams;
    const ChoiceRequest request{candidates,
                                call.service,
                                call.route->request_class,
                                call.tried,
                                call.limits.max_ejected_percent,
                                call.request.body.size()};
    auto choice = parts_.chooser.Choose(request, now);
    if (!choice.has_value()) {
      if (call.UseOtherUpstreams()) {
        SendAttempt(handle, call, is_hedge, now);
        return;
      }
      if (is_hedge) return;
      if (call.last_refusal.has_value()) {
        ScheduleRetryOrRefuse(handle, call, now);
      } else {
        Refuse(call, NoChoiceRefusal(request, now), now);
        calls_.Remove(handle);
      }
      return;
    }
    reporter_.CountChoice(choice->reason);
    if (is_hedge) reporter_.Count("hedges_total", "sent");
    const UpstreamTarget& target = candidates[choice->index];
    ++call.attempts;
    call.tried.insert(target.instance);
    StartAttempt(call,
                 {handle, target.instance, target.owner_address, now, is_hedge,
                  call.HasLargeBody() && target.instance != instance_, 0,
                  target.version});
  }

  void StartAttempt(OpenCall& call, const OpenAttempt& attempt) {
    const AttemptId id = attempt_id_prefix_ + std::to_string(++last_attempt_);
    calls_.AddAttempt(id, attempt);
    parts_.chooser.OnSent(attempt.instance, attempt.sent);
    parts_.owners.Start(attempt.owner,
                        call.NewAttempt(id, attempt.offered, attempt.sent));
  }

  /// @return the refusal of an attempt whose owner knows nothing of it, or is
  /// lost. A request whose body is not whole was not run.
  Refusal OwnerLostRefusal(const AttemptId& id) const {
    const OpenAttempt* attempt = calls_.FindAttempt(id);
    const bool not_run = attempt != nullptr && attempt->offered &&
                         !calls_.HasWholeBody(*attempt);
    return RefusalOf(RoutingCode::kOwnerLost,
                     not_run ? Certainty::kNotRun : Certainty::kUnknown);
  }

  /// @return the refusal of a call for which no upstream may be chosen.
  Refusal NoChoiceRefusal(const ChoiceRequest& request, Instant now) {
    const auto backoff = parts_.chooser.RemainingBackoff(request, now);
    if (!backoff.has_value() || *backoff == Duration{}) {
      return RefusalOf(RoutingCode::kNoUpstream, Certainty::kNotRun);
    }
    const std::error_code code = AdmissionCode::kQueueFull;
    return {code, Certainty::kNotRun, code.message(),
            std::max(kMinRetryPause, *backoff)};
  }

  /// Every upstream was tried: tries them again after the pause that the last
  /// refusal asks for, if the limit max_hold and the deadline allow it; refuses
  /// the call otherwise.
  void ScheduleRetryOrRefuse(CallHandle handle, OpenCall& call, Instant now) {
    // Jitter by the handle, so that calls are not retried in lockstep.
    const Duration pause =
        std::max(kMinRetryPause, call.last_refusal->retry_after) *
        (kJitterSteps + handle % kJitterSteps) / kJitterSteps;
    const bool may_hold = pause <= call.limits.max_hold;
    if (may_hold && now + pause < call.deadline) {
      call.retry_at = now + pause;
      return;
    }
    Refuse(call, *call.last_refusal, now);
    calls_.Remove(handle);
  }

  void ConsiderHedge(CallHandle handle, OpenCall& call, Instant now) {
    if (!call.route->hedge || call.hedged || !call.answering.empty()) return;
    if (call.open_attempts.size() != 1 || call.attempts != 1) return;
    const Duration delay = policy_.HedgeDelay(call.route->name);
    if (now - call.began < delay) return;
    call.hedged = true;
    const AttemptDecision decision = policy_.DecideHedge(call.Progress());
    if (decision == AttemptDecision::kAllowed) {
      SendAttempt(handle, call, true, now);
    } else {
      reporter_.Count("hedges_total", AttemptDecisionName(decision));
    }
  }

  /// @param outcome of an attempt that may have run.
  void HandleFailedAttempt(const AttemptId& id, const Refusal& refusal,
                           Instant now,
                           AttemptOutcome outcome = AttemptOutcome::kFailed) {
    const OpenAttempt* attempt = calls_.FindAttempt(id);
    if (attempt == nullptr) return;
    const CallHandle handle = attempt->call;
    OpenCall& call = *calls_.Find(handle);
    const bool not_run = refusal.certainty == Certainty::kNotRun;
    const std::string& request_class = call.route->request_class;
    if (not_run && IsCapacityRefusal(refusal.code)) {
      parts_.chooser.OnCapacityRefusal(attempt->instance, request_class, now);
    } else if (not_run) {
      parts_.chooser.OnRefused(attempt->instance, request_class, now);
    }
    EndAttempt(id, not_run ? AttemptOutcome::kRefusedNotRun : outcome, now);
    if (call.answering == id && call.held.has_value()) call.DropHeldAnswer();
    call.RecordRefusal(refusal);
    const bool tries_several_owners = call.limits.max_owner_tries > 1;
    if (tries_several_owners && IsExemptFromAttemptLimit(refusal) &&
        call.attempts > 0) {
      --call.attempts;
    }
    // Another attempt may still answer.
    if (!call.open_attempts.empty()) return;
    if (now >= call.deadline) {
      Refuse(call, *call.last_refusal, now);
      calls_.Remove(handle);
      return;
    }
    const AttemptDecision decision =
        policy_.DecideRetry(call.Progress(), refusal);
    if (decision == AttemptDecision::kAllowed) {
      reporter_.Count("retries_total", refusal.code);
      SendAttempt(handle, call, false, now);
      return;
    }
    reporter_.Count("retries_denied_total", AttemptDecisionName(decision));
    Refuse(call, *call.last_refusal, now);
    calls_.Remove(handle);
  }

  void FinishBroken(CallHandle handle, Instant now) {
    Finish(handle, RefusalOf(RoutingCode::kAnswerBroken, Certainty::kUnknown),
           now);
  }

  void FinishUnanswered(CallHandle handle, const OpenCall& call,
                        RoutingCode code, Instant now) {
    Finish(handle,
           RefusalOf(code, calls_.MayHaveRun(call) ? Certainty::kUnknown
                                                   : Certainty::kNotRun),
           now);
  }

  /// Ends a call without another attempt, which could still run when the
  /// daemon ends.
  void RefuseForStop(CallHandle handle, OpenCall& call, Instant now) {
    Refusal refusal = RefusalOf(RoutingCode::kStopsTooSoon, Certainty::kNotRun);
    refusal.retry_after = stop_limit_.RetryAfter(now);
    call.RecordRefusal(refusal);
    Refuse(call, *call.last_refusal, now);
    calls_.Remove(handle);
  }

  /// Cancels all attempts of a call and ends it without an answer.
  void Finish(CallHandle handle, const Refusal& refusal, Instant now) {
    OpenCall& call = *calls_.Find(handle);
    const bool head_forwarded = call.HeadForwarded();
    call.answering.clear();
    CancelOpen(call, now);
    NotifyCaller(call, refusal, head_forwarded, now);
    calls_.Remove(handle);
  }

  /// Cancels every open attempt except the one that is answering.
  void CancelOpen(OpenCall& call, Instant now) {
    const std::set<AttemptId> open = call.open_attempts;
    for (const AttemptId& id : open) {
      if (id == call.answering) continue;
      parts_.owners.Cancel(calls_.FindAttempt(id)->owner, id);
      EndAttempt(id, AttemptOutcome::kCancelled, now);
    }
  }

  void EndAttempt(const AttemptId& id, AttemptOutcome outcome, Instant now) {
    const OpenAttempt attempt = calls_.RemoveAttempt(id);
    rollouts_.OnEnded(*calls_.Find(attempt.call), attempt, outcome, now);
    parts_.chooser.OnEnded(attempt.instance, outcome, now - attempt.sent, now);
  }

  void Refuse(OpenCall& call, const Refusal& refusal, Instant now) {
    NotifyCaller(call, refusal, call.HeadForwarded(), now);
  }

  void NotifyCaller(OpenCall& call, const Refusal& refusal, bool head_forwarded,
                    Instant now) {
    reporter_.LogOutcome(call, refusal.code, CertaintyName(refusal.certainty),
                         now);
    reporter_.Count("call_refusals_total", refusal.code);
    if (call.begun_work && parts_.call_trees != nullptr &&
        refusal.certainty == Certainty::kNotRun) {
      parts_.call_trees->OnCallRefused(now);
    }
    if (call.counted && refusal.certainty == Certainty::kNotRun) {
      parts_.limits.GiveBack(call.customer->name, call.began, now);
    }
    if (head_forwarded) {
      call.stream->OnBroken(refusal);
    } else {
      call.stream->OnRefused(refusal);
    }
  }

  std::string instance_;
  std::string attempt_id_prefix_;
  EntryParts parts_;
  CallReporter reporter_;
  AttemptPolicy policy_;
  CallTable calls_;
  uint64_t last_attempt_ = 0;
  StopLimit stop_limit_;
  RolloutObserver rollouts_;
  CallIntake intake_;
};

}  // namespace

std::unique_ptr<Entry> MakeEntry(std::string instance, uint64_t incarnation,
                                 const EntryParts& parts) {
  return std::make_unique<EntryImpl>(std::move(instance), incarnation, parts);
}

}  // namespace hibiscusglade
