#include "entry/entry.h"

#include <utility>
#include <vector>

#include "admission/admission_result_codes.h"
#include "base/digest.h"
#include "base/log.h"
#include "entry/internal/attempt_policy.h"
#include "entry/internal/call_table.h"
#include "entry/internal/caller_patience.h"
#include "routing/routing_result_codes.h"
#include "routing/share_picker.h"

namespace hibiscusglade {
namespace {

constexpr uint64_t kInitialCreditBytes = 256 * 1024;
/// A daemon that has just started learns the version within some hundred
/// milliseconds.
constexpr Duration kNoVersionRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kLeastRetryPause = std::chrono::milliseconds(10);
constexpr uint64_t kPauseSteps = 8;
/// A line takes some 10 us, so that these stay below a thousandth of a core.
constexpr uint32_t kLogLinesPerSecond = 20;

Refusal RefusalOf(RoutingCode code, Certainty certainty) {
  const std::error_code error = code;
  return {error, certainty, error.message(), {}};
}

class EntryImpl : public Entry {
 public:
  EntryImpl(std::string instance, uint64_t incarnation, const EntryParts& parts)
      : prefix_(std::move(instance) + "/" + std::to_string(incarnation) + "/"),
        parts_(parts),
        shares_(DigestOf(prefix_)) {}

  void Begin(CallHandle handle, CallRequest request,
             std::unique_ptr<CallerStream> stream, Instant now) override {
    OpenCall call;
    call.request = std::move(request);
    call.stream = std::move(stream);
    call.table = parts_.routes.Current();
    call.began = now;
    if (auto refused = FindRoute(call)) {
      Refusal refusal = RefusalOf(*refused, Certainty::kNotRun);
      if (*refused == RoutingCode::kNoVersion) {
        refusal.retry_after = kNoVersionRetryAfter;
      }
      Refuse(call, refusal, now);
      return;
    }
    Duration timeout = call.route->timeout;
    if (call.request.timeout > Duration{}) {
      timeout = std::min(timeout, call.request.timeout);
    }
    call.deadline = now + timeout;
    // What a caller allows beyond its route's timeout it will not be given.
    const Duration allowed =
        std::min(call.request.timeout, call.route->timeout);
    const Duration waited =
        patience_.WaitedBefore(call.route->name, allowed, now);
    call.objective = now + call.route->objective - waited;
    policy_.OnCall(call.service, call.table->Document().limits);
    SendAttempt(handle, calls_.Add(handle, std::move(call)), false, now);
  }

  void OnCallerConsumed(CallHandle handle, uint64_t bytes, Instant) override {
    const OpenCall* call = calls_.Find(handle);
    if (call == nullptr) return;
    const OpenAttempt* attempt = calls_.FindAttempt(call->answering);
    if (attempt == nullptr) return;
    parts_.owners.Credit(attempt->owner, call->answering, bytes);
  }

  void OnCallerGone(CallHandle handle, Instant now) override {
    OpenCall* call = calls_.Find(handle);
    if (call == nullptr) return;
    call->answering.clear();
    CancelOpen(*call, now);
    Count("call_refusals_total", RoutingCode::kCallerGone);
    calls_.Remove(handle);
  }

  void OnAnswerHead(const AttemptId& id, const AnswerHead& head,
                    const LoadReport& load, Instant now) override {
    OpenCall* call = CallOf(id, load, now);
    if (call == nullptr || call->HeadPassed()) return;
    const OpenAttempt& attempt = *calls_.FindAttempt(id);
    policy_.OnFirstByte(call->route->name, now - attempt.sent);
    if (attempt.is_hedge) Count("hedges_total", "won");
    call->answering = id;
    parts_.chooser.OnAdmitted(attempt.instance, call->route->request_class);
    CancelOpen(*call, now);
    call->stream->OnHead(head);
  }

  void OnAnswerChunk(const AttemptId& id, uint64_t sequence, std::string data,
                     Instant now) override {
    const OpenAttempt* attempt = calls_.FindAttempt(id);
    if (attempt == nullptr) return;
    const CallHandle handle = attempt->call;
    OpenCall& call = *calls_.Find(handle);
    if (call.answering != id || sequence != call.next_chunk) {
      FinishBroken(handle, now);
      return;
    }
    ++call.next_chunk;
    call.bytes += data.size();
    call.digest = DigestOf(data, call.digest);
    call.stream->OnData(std::move(data));
  }

  void OnAnswerEnd(const AttemptId& id, const AnswerEnd& end,
                   const LoadReport& load, Instant now) override {
    OpenCall* call = CallOf(id, load, now);
    if (call == nullptr) return;
    const CallHandle handle = calls_.FindAttempt(id)->call;
    const AnswerEnd seen{call->next_chunk, call->bytes, call->digest};
    if (call->answering != id || seen != end) {
      FinishBroken(handle, now);
      return;
    }
    EndAttempt(id, AttemptOutcome::kAnswered, now);
    parts_.chooser.OnAnswerSize(call->service, call->route->request_class,
                                call->bytes);
    if (call->tried.size() > 1) {
      LogOutcome(*call, {}, "run", now);
    }
    call->stream->OnEnd();
    parts_.metrics.HistogramOf("call_seconds", "").Record(now - call->began);
    calls_.Remove(handle);
  }

  void OnAnswerRefused(const AttemptId& id, const Refusal& refusal,
                       const LoadReport& load, Instant now) override {
    if (CallOf(id, load, now) == nullptr) return;
    ResolveFailed(id, refusal, now);
  }

  void OnOwnerLost(const std::string& owner, bool reached,
                   Instant now) override {
    for (const AttemptId& id : OpenAttempts(owner)) {
      if (reached) {
        OnAttemptUnknown(id, now);
      } else {
        ResolveFailed(
            id, RefusalOf(RoutingCode::kOwnerUnreachable, Certainty::kNotRun),
            now);
      }
    }
  }

  void OnAttemptUnknown(const AttemptId& id, Instant now) override {
    ResolveFailed(id, RefusalOf(RoutingCode::kOwnerLost, Certainty::kUnknown),
                  now);
  }

  void OnTick(Instant now) override {
    for (CallHandle handle : calls_.Handles()) {
      OpenCall& call = *calls_.Find(handle);
      if (now >= call.deadline) {
        FinishLate(handle, call, now);
      } else if (call.retry_at.has_value() && now >= *call.retry_at) {
        call.retry_at.reset();
        call.tried.clear();
        SendAttempt(handle, call, false, now);
      } else {
        ConsiderHedge(handle, call, now);
      }
    }
    TellEjections();
  }

  void Stop() override { stopping_ = true; }

  std::vector<AttemptId> OpenAttempts(const std::string& owner) const override {
    return calls_.AttemptsAt(owner);
  }

  bool Idle() const override { return calls_.Empty(); }

 private:
  std::optional<RoutingCode> FindRoute(OpenCall& call) {
    if (stopping_) return RoutingCode::kStopping;
    if (call.table == nullptr) return RoutingCode::kNoVersion;
    call.route = call.table->Match(call.request.host, call.request.method,
                                   call.request.target);
    if (call.route == nullptr) return RoutingCode::kNoRoute;
    call.service = shares_.PickService(*call.route);
    return std::nullopt;
  }

  /// Hands on the load report of an answer.
  /// @return the call of an open attempt; nullptr for any other.
  OpenCall* CallOf(const AttemptId& id, const LoadReport& load, Instant now) {
    const OpenAttempt* attempt = calls_.FindAttempt(id);
    if (attempt == nullptr) return nullptr;
    OpenCall* call = calls_.Find(attempt->call);
    parts_.chooser.OnLoad(attempt->instance, call->route->request_class, load,
                          now);
    return call;
  }

  void SendAttempt(CallHandle handle, OpenCall& call, bool is_hedge,
                   Instant now) {
    const auto& candidates = call.table->UpstreamsOf(call.service);
    const ChoiceRequest request{
        candidates, call.service, call.route->request_class, call.tried,
        call.table->Document().limits.max_ejected_percent};
    auto choice = parts_.chooser.Choose(request, now);
    if (!choice.has_value()) {
      if (is_hedge) return;
      if (call.last_refusal.has_value()) {
        WaitOrRefuse(handle, call, now);
      } else {
        Refuse(call, NoChoiceRefusal(request, now), now);
        calls_.Remove(handle);
      }
      return;
    }
    CountChoice(choice->reason);
    if (is_hedge) Count("hedges_total", "sent");
    const UpstreamTarget& target = candidates[choice->index];
    const AttemptId id = prefix_ + std::to_string(++last_attempt_);
    ++call.attempts;
    call.tried.insert(target.instance);
    calls_.AddAttempt(
        id, {handle, target.instance, target.owner_address, now, is_hedge});
    parts_.chooser.OnSent(target.instance, now);
    parts_.owners.Start(target.owner_address, AttemptOf(id, call, now));
  }

  static CallAttempt AttemptOf(const AttemptId& id, const OpenCall& call,
                               Instant now) {
    CallAttempt attempt;
    attempt.id = id;
    attempt.request = call.request;
    attempt.service = call.service;
    attempt.route = call.route->name;
    attempt.request_class = call.route->request_class;
    attempt.repeatable = call.route->repeatable;
    attempt.claimed = call.route->claimed;
    attempt.objective = call.objective - now;
    attempt.remaining = call.deadline - now;
    attempt.credit_bytes = kInitialCreditBytes;
    attempt.version = call.table->VersionNumber();
    return attempt;
  }

  /// @return why no upstream can be asked for a call.
  Refusal NoChoiceRefusal(const ChoiceRequest& request, Instant now) {
    const auto until_room = parts_.chooser.RemainingBackoff(request, now);
    if (!until_room.has_value() || *until_room == Duration{}) {
      return RefusalOf(RoutingCode::kNoUpstream, Certainty::kNotRun);
    }
    const std::error_code code = AdmissionCode::kQueueFull;
    return {code, Certainty::kNotRun, code.message(),
            std::max(kLeastRetryPause, *until_room)};
  }

  /// Every upstream was tried: begins again after the pause that was asked
  /// for, if the deadline allows it.
  void WaitOrRefuse(CallHandle handle, OpenCall& call, Instant now) {
    // Spread by the handle, so that callers do not come back in step.
    const Duration pause =
        std::max(kLeastRetryPause, call.last_refusal->retry_after) *
        (kPauseSteps + handle % kPauseSteps) / kPauseSteps;
    const bool may_hold = pause <= call.table->Document().limits.max_hold;
    if (may_hold && now + pause < call.deadline) {
      call.retry_at = now + pause;
      return;
    }
    Refuse(call, *call.last_refusal, now);
    calls_.Remove(handle);
  }

  void ConsiderHedge(CallHandle handle, OpenCall& call, Instant now) {
    if (!call.route->hedge || call.hedged || call.HeadPassed()) return;
    if (call.open.size() != 1 || call.attempts != 1) return;
    const Duration delay = policy_.HedgeDelay(call.route->name);
    if (now - call.began < delay) return;
    call.hedged = true;
    const AttemptVerdict verdict = policy_.Hedge(ProgressOf(call));
    if (verdict == AttemptVerdict::kAllowed) {
      SendAttempt(handle, call, true, now);
    } else {
      Count("hedges_total", AttemptVerdictName(verdict));
    }
  }

  void ResolveFailed(const AttemptId& id, const Refusal& refusal, Instant now) {
    const OpenAttempt* attempt = calls_.FindAttempt(id);
    if (attempt == nullptr) return;
    const CallHandle handle = attempt->call;
    OpenCall& call = *calls_.Find(handle);
    const bool not_run = refusal.certainty == Certainty::kNotRun;
    const std::string& request_class = call.route->request_class;
    if (not_run && IsForWantOfRoom(refusal.code)) {
      parts_.chooser.OnCapacityRefusal(attempt->instance, request_class, now);
    } else if (not_run) {
      parts_.chooser.OnRefused(attempt->instance, request_class, now);
    }
    EndAttempt(
        id, not_run ? AttemptOutcome::kRefusedNotRun : AttemptOutcome::kFailed,
        now);
    call.KeepRefusal(refusal);
    const bool asks_in_turn = call.table->Document().limits.max_owner_tries > 1;
    if (asks_in_turn && HasRunNowhere(refusal) && call.attempts > 0) {
      --call.attempts;
    }
    if (!call.open.empty()) return;  // A hedge may still bring the answer.
    const AttemptVerdict verdict = policy_.Retry(ProgressOf(call), refusal);
    if (verdict == AttemptVerdict::kAllowed) {
      Count("retries_total", refusal.code);
      SendAttempt(handle, call, false, now);
      return;
    }
    Count("retries_denied_total", AttemptVerdictName(verdict));
    Refuse(call, *call.last_refusal, now);
    calls_.Remove(handle);
  }

  static CallProgress ProgressOf(const OpenCall& call) {
    return {*call.route,
            call.service,
            call.request.depth,
            call.attempts,
            static_cast<uint32_t>(call.tried.size()),
            call.table->Document().limits.max_owner_tries,
            call.HeadPassed()};
  }

  void FinishBroken(CallHandle handle, Instant now) {
    Finish(handle, RefusalOf(RoutingCode::kAnswerBroken, Certainty::kUnknown),
           now);
  }

  void FinishLate(CallHandle handle, const OpenCall& call, Instant now) {
    const bool may_have_run =
        !call.open.empty() ||
        (call.last_refusal.has_value() &&
         call.last_refusal->certainty != Certainty::kNotRun);
    Finish(handle,
           RefusalOf(RoutingCode::kDeadlinePassed,
                     may_have_run ? Certainty::kUnknown : Certainty::kNotRun),
           now);
  }

  /// Cancels all attempts of a call and ends it without an answer.
  void Finish(CallHandle handle, const Refusal& refusal, Instant now) {
    OpenCall& call = *calls_.Find(handle);
    const bool head_passed = call.HeadPassed();
    call.answering.clear();
    CancelOpen(call, now);
    Tell(call, refusal, head_passed, now);
    calls_.Remove(handle);
  }

  /// Cancels every open attempt but the one that answers.
  void CancelOpen(OpenCall& call, Instant now) {
    const std::set<AttemptId> open = call.open;
    for (const AttemptId& id : open) {
      if (id == call.answering) continue;
      parts_.owners.Cancel(calls_.FindAttempt(id)->owner, id);
      EndAttempt(id, AttemptOutcome::kCancelled, now);
    }
  }

  void EndAttempt(const AttemptId& id, AttemptOutcome outcome, Instant now) {
    const OpenAttempt attempt = calls_.EndAttempt(id);
    parts_.chooser.OnEnded(attempt.instance, outcome, now - attempt.sent, now);
  }

  void Refuse(OpenCall& call, const Refusal& refusal, Instant now) {
    Tell(call, refusal, call.HeadPassed(), now);
  }

  void Tell(OpenCall& call, const Refusal& refusal, bool head_passed,
            Instant now) {
    LogOutcome(call, refusal.code, CertaintyName(refusal.certainty), now);
    Count("call_refusals_total", refusal.code);
    if (head_passed) {
      call.stream->OnBroken(refusal);
    } else {
      call.stream->OnRefused(refusal);
    }
  }

  /// One line for each call that is refused, fails or needs more than one
  /// owner: from its id to what decided.
  /// @param code why there was no answer; no error: there was one.
  void LogOutcome(const OpenCall& call, const std::error_code& code,
                  std::string_view certainty, Instant now) {
    if (!log_budget_.Take(now)) return;
    std::string owners;
    for (const std::string& instance : call.tried) {
      owners += (owners.empty() ? "" : ",") + instance;
    }
    const uint64_t version =
        call.table == nullptr ? 0 : call.table->VersionNumber();
    const std::string outcome =
        code ? code.message() : "answered after another try";
    Log(LogLevel::kInfo, "entry", "A call ended: " + outcome + ".",
        {{"request", call.request.request_id},
         {"route", call.route == nullptr ? "-" : call.route->name},
         {"service", call.service.empty() ? "-" : call.service},
         {"version", std::to_string(version)},
         {"owners", owners.empty() ? "-" : owners},
         {"attempts", std::to_string(call.attempts)},
         {"code", std::to_string(code.value())},
         {"outcome", std::string(certainty)},
         {"ms", std::to_string((now - call.began).count() / 1000)},
         {"lines_left_out", std::to_string(log_budget_.TakeLeftOut())}});
  }

  void TellEjections() {
    const EjectionCounts counts = parts_.chooser.Counts();
    if (counts == told_) return;
    parts_.metrics.CounterOf("upstream_ejections_total", "")
        .Add(counts.ejections - told_.ejections);
    parts_.metrics.CounterOf("upstream_returns_total", "")
        .Add(counts.reinstatements - told_.reinstatements);
    told_ = counts;
  }

  void CountChoice(ChoiceReason reason) {
    if (reason == ChoiceReason::kSpillOver) {
      Count("choices_total", "spill_over");
    } else if (reason == ChoiceReason::kProbe) {
      Count("choices_total", "probe");
    }
  }

  void Count(std::string_view name, std::string_view reason) {
    parts_.metrics.CounterOf(name, "reason=\"" + std::string(reason) + "\"")
        .Add();
  }

  void Count(std::string_view name, const std::error_code& code) {
    parts_.metrics
        .CounterOf(name, "code=\"" + std::to_string(code.value()) + "\"")
        .Add();
  }

  std::string prefix_;
  EntryParts parts_;
  AttemptPolicy policy_;
  CallerPatience patience_;
  SharePicker shares_;
  CallTable calls_;
  uint64_t last_attempt_ = 0;
  LogBudget log_budget_{kLogLinesPerSecond};
  EjectionCounts told_;
  bool stopping_ = false;
};

}  // namespace

std::unique_ptr<Entry> MakeEntry(std::string instance, uint64_t incarnation,
                                 const EntryParts& parts) {
  return std::make_unique<EntryImpl>(std::move(instance), incarnation, parts);
}

}  // namespace hibiscusglade
