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

/// What becomes of a command on its way to the ledger.
enum class Way { kAnswered, kAnswerLost, kLost, kUnavailable };

/// A real ledger behind a way that the test decides on.
class FakeStore : public ClaimStore {
 public:
  void Submit(const ClaimCommand& command, Done done) override {
    open.push_back({command, std::move(done)});
  }

  /// Takes the oldest command.
  /// @return what the owner was told.
  ClaimOutcome Pass(Way way) {
    auto [command, done] = std::move(open.front());
    open.pop_front();
    ClaimOutcome outcome{ClaimsCode::kLedgerUnavailable, ""};
    if (way == Way::kAnswered || way == Way::kAnswerLost) {
      outcome = DecodeClaimOutcome(ledger->Apply(EncodeClaim(command)));
    }
    if (way == Way::kAnswerLost || way == Way::kLost) {
      outcome = {ClaimsCode::kLedgerSilent, ""};
    }
    // What was lost may still arrive.
    if (way == Way::kLost) late.push_back(command);
    done(outcome);
    return outcome;
  }

  ClaimLedger* ledger = nullptr;
  std::deque<std::pair<ClaimCommand, Done>> open;
  std::deque<ClaimCommand> late;
};

/// Writes down what an owner sends and asks for.
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
                   const Refusal& refusal, const LoadReport&) override {
    refused[attempt] = refusal.certainty;
    Note(attempt + " refused " + std::to_string(refusal.code.value()) + " " +
         std::string(CertaintyName(refusal.certainty)));
  }
  void Start(RunId run, const std::string&,
             const CallAttempt& attempt) override {
    started[run] = attempt;
    Note("upstream starts run " + std::to_string(run) + " for " + attempt.id);
  }
  void Allow(RunId run, uint64_t bytes) override {
    Note("upstream may send " + std::to_string(bytes) + " bytes more of run " +
         std::to_string(run));
  }
  void Probe(const std::string&) override { Note("upstream is probed"); }
  void Cancel(RunId run) override {
    started.erase(run);
    Note("upstream cancels run " + std::to_string(run));
  }
  void OnSuspicions(const std::string& service,
                    const std::vector<QuarantineNews>& news) override {
    std::string text = "news for " + service;
    for (const QuarantineNews& item : news) {
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
};

/// An owner with its fakes; the ledger may be shared with others.
class OwnerSeat {
 public:
  OwnerSeat(const std::string& name, ClaimLedger& ledger, uint32_t slots = 2) {
    store.ledger = &ledger;
    owner = MakeOwner(name, {recorder, recorder, store, *quarantine, *metrics,
                             clock, recorder});
    UpstreamAnnouncement upstream;
    upstream.service = "orders";
    upstream.slots = slots;
    upstream.state = UpstreamState::kServing;
    AdmissionConfig config;
    config.max_queue = 4;
    config.classes["short"].max_wait = std::chrono::seconds(1);
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

  /// The upstream answers a run.
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
