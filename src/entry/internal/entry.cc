#include "entry/entry.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "platform/digest.h"
#include "routing/retry_budget.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr uint64_t kInitialCreditBytes = 256 * 1024;

Refusal RefusalOf(RoutingCode code, Certainty certainty) {
  const std::error_code error = code;
  return {error, certainty, error.message(), {}};
}

/// One attempt under way.
struct OpenAttempt {
  CallHandle call = 0;
  std::string instance;
  std::string owner;
  Instant sent;
};

/// One caller's request.
struct OpenCall {
  CallRequest request;
  std::unique_ptr<CallerStream> stream;
  RouteTablePtr table;
  const RouteConfig* route = nullptr;
  Instant began;
  Instant deadline;
  AttemptId current;
  uint32_t attempts = 0;
  std::set<std::string> tried;
  bool head_passed = false;
  uint64_t next_chunk = 0;
  uint64_t bytes = 0;
  Digest digest = 0;
};

class EntryImpl : public Entry {
 public:
  EntryImpl(std::string instance, uint64_t incarnation, const EntryParts& parts)
      : prefix_(std::move(instance) + "/" + std::to_string(incarnation) + "/"),
        parts_(parts) {}

  void Begin(CallHandle handle, CallRequest request,
             std::unique_ptr<CallerStream> stream, Instant now) override {
    OpenCall call;
    call.request = std::move(request);
    call.stream = std::move(stream);
    call.table = parts_.routes.Current();
    call.began = now;
    if (stopping_) {
      Refuse(call, RefusalOf(RoutingCode::kStopping, Certainty::kNotRun));
      return;
    }
    if (call.table == nullptr) {
      Refuse(call, RefusalOf(RoutingCode::kNoVersion, Certainty::kNotRun));
      return;
    }
    call.route = call.table->Match(call.request.method, call.request.target);
    if (call.route == nullptr) {
      Refuse(call, RefusalOf(RoutingCode::kNoRoute, Certainty::kNotRun));
      return;
    }
    Duration timeout = call.route->timeout;
    if (call.request.timeout > Duration{}) {
      timeout = std::min(timeout, call.request.timeout);
    }
    call.deadline = now + timeout;
    budget_.SetPercent(call.table->Document().limits.retry_budget_percent);
    budget_.OnRequest();
    OpenCall& open = calls_[handle] = std::move(call);
    SendAttempt(handle, open, now);
  }

  void OnCallerConsumed(CallHandle handle, uint64_t bytes, Instant) override {
    auto found = calls_.find(handle);
    if (found == calls_.end()) return;
    auto attempt = attempts_.find(found->second.current);
    if (attempt == attempts_.end()) return;
    parts_.owners.Credit(attempt->second.owner, attempt->first, bytes);
  }

  void OnCallerGone(CallHandle handle, Instant now) override {
    auto found = calls_.find(handle);
    if (found == calls_.end()) return;
    CancelCurrent(found->second, now);
    Count("call_refusals_total", RoutingCode::kCallerGone);
    calls_.erase(found);
  }

  void OnAnswerHead(const AttemptId& id, const AnswerHead& head,
                    const LoadReport& load, Instant now) override {
    auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) return;
    parts_.chooser.OnLoad(attempt->second.instance, load, now);
    OpenCall& call = calls_[attempt->second.call];
    call.head_passed = true;
    call.stream->OnHead(head);
  }

  void OnAnswerChunk(const AttemptId& id, uint64_t sequence, std::string data,
                     Instant now) override {
    auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) return;
    const CallHandle handle = attempt->second.call;
    OpenCall& call = calls_[handle];
    if (sequence != call.next_chunk || !call.head_passed) {
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
    auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) return;
    parts_.chooser.OnLoad(attempt->second.instance, load, now);
    const CallHandle handle = attempt->second.call;
    OpenCall& call = calls_[handle];
    const AnswerEnd seen{call.next_chunk, call.bytes, call.digest};
    if (!call.head_passed || seen != end) {
      FinishBroken(handle, now);
      return;
    }
    EndAttempt(id, AttemptOutcome::kAnswered, now);
    call.stream->OnEnd();
    parts_.metrics.HistogramOf("call_seconds", "").Record(now - call.began);
    calls_.erase(handle);
  }

  void OnAnswerRefused(const AttemptId& id, const Refusal& refusal,
                       const LoadReport& load, Instant now) override {
    auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) return;
    parts_.chooser.OnLoad(attempt->second.instance, load, now);
    ResolveFailed(id, refusal, now);
  }

  void OnOwnerLost(const std::string& owner, Instant now) override {
    for (const AttemptId& id : OpenAttempts(owner)) {
      ResolveFailed(id, RefusalOf(RoutingCode::kOwnerLost, Certainty::kUnknown),
                    now);
    }
  }

  void OnAttemptUnknown(const AttemptId& id, Instant now) override {
    ResolveFailed(id, RefusalOf(RoutingCode::kOwnerLost, Certainty::kUnknown),
                  now);
  }

  void OnTick(Instant now) override {
    std::vector<CallHandle> late;
    for (const auto& [handle, call] : calls_) {
      if (now >= call.deadline) late.push_back(handle);
    }
    for (CallHandle handle : late) {
      OpenCall& call = calls_[handle];
      CancelCurrent(call, now);
      Refuse(call,
             RefusalOf(RoutingCode::kDeadlinePassed, Certainty::kUnknown));
      calls_.erase(handle);
    }
  }

  void Stop() override { stopping_ = true; }

  std::vector<AttemptId> OpenAttempts(const std::string& owner) const override {
    std::vector<AttemptId> open;
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.owner == owner) open.push_back(id);
    }
    return open;
  }

  bool Idle() const override { return calls_.empty(); }

 private:
  void SendAttempt(CallHandle handle, OpenCall& call, Instant now) {
    const auto& candidates = call.table->UpstreamsOf(call.route->service);
    auto choice = parts_.chooser.Choose(
        {candidates, call.route->request_class, call.tried}, now);
    if (!choice.has_value()) {
      const RoutingCode code = call.attempts == 0 ? RoutingCode::kNoUpstream
                                                  : RoutingCode::kAttemptsSpent;
      Refuse(call, RefusalOf(code, Certainty::kNotRun));
      calls_.erase(handle);
      return;
    }
    const UpstreamTarget& target = candidates[*choice];
    call.current = prefix_ + std::to_string(++last_attempt_);
    ++call.attempts;
    call.tried.insert(target.instance);
    attempts_[call.current] = {handle, target.instance, target.owner_address,
                               now};
    CallAttempt attempt;
    attempt.id = call.current;
    attempt.request = call.request;
    attempt.service = call.route->service;
    attempt.route = call.route->name;
    attempt.request_class = call.route->request_class;
    attempt.repeatable = call.route->repeatable;
    attempt.remaining = call.deadline - now;
    attempt.credit_bytes = kInitialCreditBytes;
    attempt.version = call.table->VersionNumber();
    parts_.chooser.OnSent(target.instance, now);
    parts_.owners.Start(target.owner_address, attempt);
  }

  void ResolveFailed(const AttemptId& id, const Refusal& refusal, Instant now) {
    auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const CallHandle handle = found->second.call;
    const bool not_run = refusal.certainty == Certainty::kNotRun;
    EndAttempt(
        id, not_run ? AttemptOutcome::kRefusedNotRun : AttemptOutcome::kFailed,
        now);
    OpenCall& call = calls_[handle];
    const bool may_run_again = not_run || call.route->repeatable;
    const bool may_retry = may_run_again && !call.head_passed &&
                           call.attempts < call.route->max_attempts &&
                           now < call.deadline && budget_.TryTake();
    if (may_retry) {
      Count("retries_total", refusal.code);
      SendAttempt(handle, call, now);
      return;
    }
    if (call.head_passed) {
      call.stream->OnBroken(refusal);
      Count("call_refusals_total", refusal.code);
    } else {
      Refuse(call, refusal);
    }
    calls_.erase(handle);
  }

  void FinishBroken(CallHandle handle, Instant now) {
    OpenCall& call = calls_[handle];
    CancelCurrent(call, now);
    const Refusal refusal =
        RefusalOf(RoutingCode::kAnswerBroken, Certainty::kUnknown);
    Count("call_refusals_total", refusal.code);
    if (call.head_passed) {
      call.stream->OnBroken(refusal);
    } else {
      call.stream->OnRefused(refusal);
    }
    calls_.erase(handle);
  }

  void CancelCurrent(const OpenCall& call, Instant now) {
    auto attempt = attempts_.find(call.current);
    if (attempt == attempts_.end()) return;
    parts_.owners.Cancel(attempt->second.owner, attempt->first);
    EndAttempt(call.current, AttemptOutcome::kCancelled, now);
  }

  void EndAttempt(const AttemptId& id, AttemptOutcome outcome, Instant now) {
    auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) return;
    parts_.chooser.OnEnded(attempt->second.instance, outcome,
                           now - attempt->second.sent, now);
    attempts_.erase(attempt);
  }

  void Refuse(OpenCall& call, const Refusal& refusal) {
    Count("call_refusals_total", refusal.code);
    if (call.head_passed) {
      call.stream->OnBroken(refusal);
    } else {
      call.stream->OnRefused(refusal);
    }
  }

  void Count(std::string_view name, const std::error_code& code) {
    parts_.metrics
        .CounterOf(name, "code=\"" + std::to_string(code.value()) + "\"")
        .Add();
  }

  std::string prefix_;
  EntryParts parts_;
  RetryBudget budget_{10};
  std::map<CallHandle, OpenCall> calls_;
  std::map<AttemptId, OpenAttempt> attempts_;
  uint64_t last_attempt_ = 0;
  bool stopping_ = false;
};

}  // namespace

std::unique_ptr<Entry> MakeEntry(std::string instance, uint64_t incarnation,
                                 const EntryParts& parts) {
  return std::make_unique<EntryImpl>(std::move(instance), incarnation, parts);
}

}  // namespace hibiscusglade
