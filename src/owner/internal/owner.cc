#include "owner/owner.h"

#include <map>
#include <string>
#include <utility>

#include "admission/admission_result_codes.h"
#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "platform/digest.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMaxChunkBytes = 64 * 1024;

Refusal RefusalOf(const std::error_code& code, Certainty certainty) {
  return {code, certainty, code.message(), {}};
}

Digest FingerprintOf(const CallRequest& request) {
  Digest digest = DigestOf(request.method);
  digest = DigestOf(request.target, digest);
  digest = DigestOf(request.body, digest);
  return DigestOf(request.idempotency_key, digest);
}

enum class JobStage { kClaiming, kWaiting, kRunning };

/// One attempt in the owner's hands.
struct Job {
  EntryRef entry;
  CallAttempt attempt;
  Instant deadline;
  JobStage stage = JobStage::kWaiting;
  Instant run_began;
  bool head_sent = false;
  bool paused = false;
  uint64_t credit = 0;
  uint64_t chunks = 0;
  uint64_t bytes = 0;
  Digest digest = 0;
  AnswerHead head;
  std::string kept_body;  ///< Whole answer of a request run at most once.
};

class OwnerImpl : public Owner {
 public:
  OwnerImpl(std::string instance, const OwnerParts& parts)
      : instance_(std::move(instance)), parts_(parts) {}

  void OnStart(const EntryRef& entry, const CallAttempt& attempt,
               Instant now) override {
    if (by_attempt_.contains(attempt.id)) return;
    Job job;
    job.entry = entry;
    job.attempt = attempt;
    job.deadline = now + attempt.remaining;
    job.credit = attempt.credit_bytes;
    if (auto refused = CheckStart(attempt, now)) {
      SendRefused(job, *refused, Certainty::kNotRun);
      return;
    }
    const Ticket ticket = ++last_ticket_;
    by_attempt_[attempt.id] = ticket;
    jobs_[ticket] = std::move(job);
    if (attempt.repeatable) {
      AskForSlot(ticket, now);
    } else {
      AskForClaim(ticket, now);
    }
  }

  void OnCredit(const EntryRef&, const AttemptId& attempt, uint64_t bytes,
                Instant) override {
    Job* job = JobOf(attempt);
    if (job == nullptr) return;
    job->credit += bytes;
    if (!job->paused || job->credit == 0) return;
    job->paused = false;
    parts_.upstream.SetPaused(by_attempt_[attempt], false);
  }

  void OnCancel(const EntryRef&, const AttemptId& attempt,
                Instant now) override {
    auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) return;
    const Ticket ticket = found->second;
    Job& job = jobs_[ticket];
    // A request that may run only once is seen through once it has a claim.
    if (!job.attempt.repeatable) return;
    if (job.stage == JobStage::kRunning) {
      parts_.upstream.Cancel(ticket);
      job.run_began = now;  // A run broken off teaches no service time.
      FinishRun(ticket, now);
    } else {
      admission_->Withdraw(ticket);
      Forget(ticket);
    }
  }

  void OnTick(Instant now) override { Follow(admission_->OnTick(now), now); }

  void SetUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                   const AdmissionConfig& config, Instant now) override {
    upstream_ = upstream;
    AdmissionConfig limits = config;
    limits.slots = upstream.has_value() ? upstream->slots : 0;
    limits.draining =
        upstream.has_value() && upstream->state == UpstreamState::kDraining;
    Follow(admission_->Configure(limits, now), now);
  }

  void OnUpstreamDeath(Instant now) override {
    std::vector<Digest> running;
    for (const auto& [ticket, job] : jobs_) {
      if (job.stage == JobStage::kRunning) {
        running.push_back(FingerprintOf(job.attempt.request));
      }
    }
    parts_.quarantine.OnUpstreamDeath(running, now);
  }

  void Drain(Instant now) override { Follow(admission_->Drain(now), now); }

  bool Knows(const AttemptId& attempt) const override {
    return by_attempt_.contains(attempt);
  }

  bool Idle() const override { return jobs_.empty(); }

  void OnRunHead(RunId run, const AnswerHead& head, Instant) override {
    auto found = jobs_.find(run);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    job.head = head;
    if (!job.attempt.repeatable) return;
    job.head_sent = true;
    parts_.entries.SendHead(job.entry, job.attempt.id, head,
                            admission_->Load());
  }

  void OnRunData(RunId run, std::string data, Instant) override {
    auto found = jobs_.find(run);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    if (!job.attempt.repeatable) {
      job.kept_body += data;
      return;
    }
    SendData(job, data);
    if (job.credit > 0 || job.paused) return;
    job.paused = true;
    parts_.upstream.SetPaused(run, true);
  }

  void OnRunEnd(RunId run, Instant now) override {
    auto found = jobs_.find(run);
    if (found == jobs_.end()) return;
    parts_.quarantine.OnSurvived(FingerprintOf(found->second.attempt.request),
                                 now);
    if (found->second.attempt.repeatable) {
      SendEnd(found->second);
      FinishRun(run, now);
    } else {
      FinishClaim(run, now);
    }
  }

  void OnRunFailed(RunId run, RunProgress progress, const std::string& reason,
                   Instant now) override {
    auto found = jobs_.find(run);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    const Certainty certainty = progress == RunProgress::kNotSent
                                    ? Certainty::kNotRun
                                    : Certainty::kUnknown;
    if (!job.attempt.repeatable && certainty == Certainty::kNotRun) {
      BurnAndRefuse(run, AdmissionCode::kNotServing, now);
      FreeSlot(run, now);
      return;
    }
    Refusal refusal =
        RefusalOf(progress == RunProgress::kNotSent
                      ? make_error_code(AdmissionCode::kNotServing)
                      : make_error_code(RoutingCode::kAnswerBroken),
                  certainty);
    refusal.detail = reason;
    parts_.entries.SendRefused(job.entry, job.attempt.id, refusal,
                               admission_->Load());
    FinishRun(run, now);
  }

 private:
  std::optional<std::error_code> CheckStart(const CallAttempt& attempt,
                                            Instant now) {
    if (!upstream_.has_value()) {
      return make_error_code(AdmissionCode::kNotServing);
    }
    if (upstream_->service != attempt.service) {
      return make_error_code(AdmissionCode::kWrongService);
    }
    if (!attempt.repeatable && attempt.request.idempotency_key.empty()) {
      return make_error_code(ClaimsCode::kMissingKey);
    }
    const Digest fingerprint = FingerprintOf(attempt.request);
    if (parts_.quarantine.Judge(fingerprint, now) ==
        QuarantineVerdict::kRefused) {
      return make_error_code(AdmissionCode::kQuarantined);
    }
    return std::nullopt;
  }

  void AskForSlot(Ticket ticket, Instant now) {
    Job& job = jobs_[ticket];
    job.stage = JobStage::kWaiting;
    Follow(admission_->OnRequest(
               {ticket, job.attempt.request_class, job.attempt.request.caller,
                job.deadline, Duration{}},
               now),
           now);
  }

  ClaimCommand CommandOf(const Job& job, ClaimKind kind) const {
    ClaimCommand command;
    command.kind = kind;
    command.service = job.attempt.service;
    command.key = job.attempt.request.idempotency_key;
    command.request_digest = FingerprintOf(job.attempt.request);
    command.attempt = job.attempt.id;
    command.owner = instance_;
    return command;
  }

  void AskForClaim(Ticket ticket, Instant now) {
    Job& job = jobs_[ticket];
    job.stage = JobStage::kClaiming;
    parts_.claims.Submit(CommandOf(job, ClaimKind::kClaim),
                         [this, ticket, now](const ClaimOutcome& outcome) {
                           OnClaimed(ticket, outcome, now);
                         });
  }

  void OnClaimed(Ticket ticket, const ClaimOutcome& outcome, Instant now) {
    auto found = jobs_.find(ticket);
    if (found == jobs_.end()) return;
    if (!outcome.error) {
      AskForSlot(ticket, now);
      return;
    }
    Job job = std::move(found->second);
    Forget(ticket);
    if (outcome.error == ClaimsCode::kAlreadyDone) {
      SendKept(job, outcome.kept_answer);
      return;
    }
    const ResultCodeInfo* info = FindResultCode(outcome.error);
    SendRefused(job, outcome.error,
                info == nullptr ? Certainty::kUnknown : info->certainty);
  }

  void FinishClaim(Ticket ticket, Instant now) {
    Job& job = jobs_[ticket];
    ClaimCommand command = CommandOf(job, ClaimKind::kFinish);
    command.answer = EncodeKeptAnswer({job.head, job.kept_body});
    // The answer goes out once it is kept, so that a resend gets the same.
    parts_.claims.Submit(
        command, [this, ticket, answer = command.answer](const ClaimOutcome&) {
          auto found = jobs_.find(ticket);
          if (found == jobs_.end()) return;
          SendKept(found->second, answer);
          Forget(ticket);
        });
    FreeSlot(ticket, now);
  }

  void BurnAndRefuse(Ticket ticket, std::error_code code, Instant) {
    parts_.claims.Submit(CommandOf(jobs_[ticket], ClaimKind::kBurn),
                         [this, ticket, code](const ClaimOutcome& outcome) {
                           auto found = jobs_.find(ticket);
                           if (found == jobs_.end()) return;
                           SendRefused(found->second, code, Certainty::kNotRun);
                           Forget(ticket);
                         });
  }

  void Follow(const AdmissionEffects& effects, Instant now) {
    for (Ticket ticket : effects.admitted) StartRun(ticket, now);
    for (const SlotRefusal& refusal : effects.refused) {
      auto found = jobs_.find(refusal.ticket);
      if (found == jobs_.end()) continue;
      if (!found->second.attempt.repeatable) {
        BurnAndRefuse(refusal.ticket, refusal.code, now);
        continue;
      }
      SendRefused(found->second, refusal.code, Certainty::kNotRun);
      Forget(refusal.ticket);
    }
  }

  void StartRun(Ticket ticket, Instant now) {
    Job& job = jobs_[ticket];
    job.stage = JobStage::kRunning;
    job.run_began = now;
    job.attempt.remaining = job.deadline - now;
    parts_.upstream.Start(ticket, upstream_->address, job.attempt);
  }

  void SendData(Job& job, const std::string& data) {
    for (size_t at = 0; at < data.size(); at += kMaxChunkBytes) {
      std::string chunk = data.substr(at, kMaxChunkBytes);
      job.digest = DigestOf(chunk, job.digest);
      job.bytes += chunk.size();
      job.credit -= std::min<uint64_t>(job.credit, chunk.size());
      parts_.entries.SendChunk(job.entry, job.attempt.id, job.chunks++,
                               std::move(chunk));
    }
  }

  void SendEnd(const Job& job) {
    parts_.entries.SendEnd(job.entry, job.attempt.id,
                           {job.chunks, job.bytes, job.digest},
                           admission_->Load());
  }

  void SendKept(Job& job, const std::string& encoded) {
    auto answer = DecodeKeptAnswer(encoded);
    if (!answer.has_value()) {
      SendRefused(job, ClaimsCode::kOutcomeUnknown, Certainty::kUnknown);
      return;
    }
    parts_.entries.SendHead(job.entry, job.attempt.id, answer->head,
                            admission_->Load());
    SendData(job, answer->body);
    SendEnd(job);
  }

  void SendRefused(const Job& job, const std::error_code& code,
                   Certainty certainty) {
    parts_.metrics
        .CounterOf("owner_refusals_total",
                   "code=\"" + std::to_string(code.value()) + "\"")
        .Add();
    parts_.entries.SendRefused(job.entry, job.attempt.id,
                               RefusalOf(code, certainty), admission_->Load());
  }

  void FinishRun(Ticket ticket, Instant now) {
    FreeSlot(ticket, now);
    Forget(ticket);
  }

  void FreeSlot(Ticket ticket, Instant now) {
    auto found = jobs_.find(ticket);
    const Duration service_time =
        found == jobs_.end() ? Duration{} : now - found->second.run_began;
    Follow(admission_->OnFinished(ticket, service_time, now), now);
  }

  void Forget(Ticket ticket) {
    auto found = jobs_.find(ticket);
    if (found == jobs_.end()) return;
    by_attempt_.erase(found->second.attempt.id);
    jobs_.erase(found);
  }

  Job* JobOf(const AttemptId& attempt) {
    auto found = by_attempt_.find(attempt);
    return found == by_attempt_.end() ? nullptr : &jobs_[found->second];
  }

  std::string instance_;
  OwnerParts parts_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
  std::optional<UpstreamAnnouncement> upstream_;
  std::map<Ticket, Job> jobs_;
  std::map<AttemptId, Ticket> by_attempt_;
  Ticket last_ticket_ = 0;
};

}  // namespace

std::unique_ptr<Owner> MakeOwner(std::string instance,
                                 const OwnerParts& parts) {
  return std::make_unique<OwnerImpl>(std::move(instance), parts);
}

}  // namespace hibiscusglade
