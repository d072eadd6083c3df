#ifndef HIBISCUSGLADE_OWNER_TESTS_OWNER_FIXTURE_H_
#define HIBISCUSGLADE_OWNER_TESTS_OWNER_FIXTURE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "claims/claim_codec.h"
#include "claims/claim_ledger.h"
#include "claims/claims_result_codes.h"
#include "owner/owner.h"

namespace hibiscusglade {

class FakeClock : public Clock {
 public:
  Instant Now() const override { return now; }
  int64_t UnixMicros() const override {
    return 100 * kClaimLifetimeMicros + now.time_since_epoch().count();
  }

  Instant now{std::chrono::seconds(1)};
};

/// What happens to a command sent to the ledger. A lost command may be applied
/// later, an unavailable ledger never applies it.
enum class Delivery { kAnswered, kAnswerLost, kCommandLost, kUnavailable };

/// Submits commands to a real ledger; the test decides what happens to each.
class FakeStore : public ClaimStore {
 public:
  void Submit(const ClaimCommand& command, Done done) override {
    pending.push_back({command, std::move(done)});
  }

  /// Delivers the oldest pending command, or loses it.
  /// @return the outcome that the owner received.
  ClaimOutcome DeliverNext(Delivery delivery) {
    auto [command, done] = std::move(pending.front());
    pending.pop_front();
    ClaimOutcome outcome{ClaimsCode::kLedgerUnavailable, ""};
    if (delivery == Delivery::kAnswered || delivery == Delivery::kAnswerLost) {
      outcome = DecodeClaimOutcome(ledger->Apply(EncodeClaim(command)));
    }
    if (delivery == Delivery::kAnswerLost ||
        delivery == Delivery::kCommandLost) {
      outcome = {ClaimsCode::kLedgerUnresponsive, ""};
    }
    // A command that counts as lost may still reach the ledger.
    if (delivery == Delivery::kCommandLost) delayed.push_back(command);
    done(outcome);
    return outcome;
  }

  ClaimLedger* ledger = nullptr;
  std::deque<std::pair<ClaimCommand, Done>> pending;
  std::deque<ClaimCommand> delayed;
};

/// Logs the messages and calls of an owner.
class Recorder : public EntryLink, public UpstreamClient, public OwnerListener {
 public:
  void SendHead(const EntryRef&, const AttemptId& attempt,
                const AnswerHead& head, const LoadReport&) override {
    Note(attempt + " head " + std::to_string(head.status));
  }
  void SendChunk(const EntryRef&, const AttemptId& attempt, uint64_t sequence,
                 std::string data) override {
    Note(attempt + " chunk " + std::to_string(sequence) + " of " +
         std::to_string(data.size()) + " bytes");
  }
  void SendEnd(const EntryRef&, const AttemptId& attempt, const AnswerEnd& end,
               const LoadReport&) override {
    Note(attempt + " end after " + std::to_string(end.bytes) + " bytes");
  }
  void SendRefused(const EntryRef&, const AttemptId& attempt,
                   const Refusal& refusal, const LoadReport& report) override {
    load = report;
    refused[attempt] = refusal.certainty;
    retry_after[attempt] = refusal.retry_after;
    Note(attempt + " refused " + std::to_string(refusal.code.value()) + " " +
         std::string(CertaintyName(refusal.certainty)));
  }
  void SendGrant(const EntryRef&, const AttemptId& attempt,
                 uint64_t until) override {
    granted[attempt] = until;
    Note(attempt + " may send up to " + std::to_string(until));
  }
  void Start(RunId run, const std::string&, CallAttempt attempt) override {
    Note("upstream starts run " + std::to_string(run) + " for " + attempt.id);
    started[run] = std::move(attempt);
  }
  void AddCredit(RunId run, uint64_t bytes) override {
    Note("upstream may send " + std::to_string(bytes) + " bytes more of run " +
         std::to_string(run));
  }
  void Probe(const std::string&) override { Note("upstream is probed"); }
  bool IsConnected(const std::string&) const override { return connected; }
  void Cancel(RunId run) override {
    started.erase(run);
    Note("upstream cancels run " + std::to_string(run));
  }
  void OnSuspicions(const std::string& service,
                    const std::vector<QuarantineNotice>& notices) override {
    std::string text = "suspicions for " + service;
    for (const QuarantineNotice& item : notices) {
      text += ", blames " + std::to_string(item.blames);
    }
    Note(text);
  }

  void OnUpstreamDown(const UpstreamAnnouncement&) override {
    Note("upstream is down");
  }

  void Note(const std::string& line) { log += "  " + line + "\n"; }

  std::string log;
  std::map<RunId, CallAttempt> started;
  std::map<AttemptId, Certainty> refused;
  std::map<AttemptId, Duration> retry_after;  ///< Of refusals.
  std::map<AttemptId, uint64_t> granted;
  LoadReport load;         ///< Of the last refusal.
  bool connected = false;  ///< Another connection to the upstream is open.
};

/// An owner with its fakes. Several owners may share one ledger.
class OwnerHarness {
 public:
  OwnerHarness(const std::string& name, ClaimLedger& ledger, uint32_t slots = 2,
               double link_mbps = 0, CallTrees* trees = nullptr) {
    store.ledger = &ledger;
    owner = MakeOwner(name, {recorder,
                             recorder,
                             store,
                             *quarantine,
                             *metrics,
                             clock,
                             recorder,
                             link_mbps,
                             {},
                             {},
                             trees});
    UpstreamAnnouncement upstream;
    upstream.service = "orders";
    upstream.slots = slots;
    upstream.state = UpstreamState::kServing;
    AdmissionConfig config;
    config.max_queue = 4;
    config.classes["short"].max_wait = std::chrono::seconds(1);
    config.classes["check"].max_wait = std::chrono::seconds(1);
    owner->SetUpstream(upstream, config, clock.now);
  }

  void Start(const std::string& attempt, const std::string& key,
             bool repeatable = false, const std::string& body = "deposit") {
    CallAttempt call;
    call.id = attempt;
    call.request.method = "POST";
    call.request.target = "/deposits";
    call.request.body = body;
    call.request.idempotency_key = key;
    call.service = "orders";
    call.request_class = "short";
    call.repeatable = repeatable;
    call.remaining = std::chrono::seconds(2);
    call.credit_bytes = 1000;
    owner->OnStart("entry", call, clock.now);
  }

  /// Completes a run with an answer of the upstream.
  void Answer(RunId run, const std::string& body = "done") {
    recorder.started.erase(run);
    owner->OnRunHead(run, {200, {}, -1}, clock.now);
    owner->OnRunData(run, body, clock.now);
    owner->OnRunEnd(run, clock.now);
  }

  void Wait(Duration time) {
    clock.now += time;
    owner->OnTick(clock.now);
  }

  FakeClock clock;
  Recorder recorder;
  FakeStore store;
  std::unique_ptr<Quarantine> quarantine = MakeQuarantine();
  std::unique_ptr<Metrics> metrics = MakeMetrics();
  std::unique_ptr<Owner> owner;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_TESTS_OWNER_FIXTURE_H_
