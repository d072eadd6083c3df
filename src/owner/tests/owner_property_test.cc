#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

/// Sends requests with two keys through two owners that share a ledger, while
/// commands and answers of the ledger get lost and owners are replaced. Counts
/// the runs of each key.
class ResendSimulation {
 public:
  void Send(size_t owner) {
    const std::string key = "k" + std::to_string(sent_ % 2);
    const std::string attempt = "a" + std::to_string(sent_++);
    key_of_[attempt] = key;
    HarnessOf(owner).Start(attempt, key);
  }

  void DeliverNext(size_t owner, Delivery delivery) {
    OwnerHarness& harness = HarnessOf(owner);
    if (!harness.store.pending.empty()) harness.store.DeliverNext(delivery);
  }

  /// Applies a command that had been reported as lost.
  void ApplyDelayedCommand(size_t owner) {
    std::deque<ClaimCommand>& delayed = HarnessOf(owner).store.delayed;
    if (delayed.empty()) return;
    ledger_.Apply(EncodeClaim(delayed.front()));
    delayed.pop_front();
  }

  void EndRun(size_t owner, bool answered) {
    OwnerHarness& harness = HarnessOf(owner);
    if (harness.recorder.started.empty()) return;
    const RunId run = harness.recorder.started.begin()->first;
    const RunProgress progress =
        *rc::gen::element(RunProgress::kNotSent, RunProgress::kSent);
    if (answered) {
      harness.Answer(run);
      return;
    }
    const std::string attempt = harness.recorder.started[run].id;
    harness.recorder.started.erase(run);
    if (progress == RunProgress::kNotSent) UncountRun(attempt);
    harness.owner->OnRunFailed(run, {progress, false, "timeout"},
                               harness.clock.now);
  }

  void Cancel(size_t owner) {
    if (sent_ == 0) return;
    const std::string attempt = "a" + std::to_string(sent_ - 1);
    HarnessOf(owner).owner->OnCancel("entry", attempt,
                                     HarnessOf(owner).clock.now);
  }

  void Wait(size_t owner, Duration time) { HarnessOf(owner).Wait(time); }

  void ReplaceOwner(size_t owner) {
    CheckRuns();
    for (const auto& [attempt, certainty] : HarnessOf(owner).recorder.refused) {
      if (certainty == Certainty::kNotRun) refused_as_not_run_.insert(attempt);
    }
    std::erase_if(counted_runs_,
                  [owner](const auto& run) { return run.first == owner; });
    harnesses_[owner] = MakeHarness(owner);
  }

  /// Checks that every key ran at most once, and that no attempt ran that was
  /// refused as not run.
  void CheckRuns() {
    for (size_t owner = 0; owner < 2; ++owner) {
      for (const auto& [run, attempt] : HarnessOf(owner).recorder.started) {
        if (!counted_runs_.insert({owner, run}).second) continue;
        attempts_run_.insert(attempt.id);
        RC_ASSERT(++runs_by_key_[key_of_[attempt.id]] <= 1);
      }
      for (const auto& [attempt, certainty] :
           HarnessOf(owner).recorder.refused) {
        const bool not_run = certainty == Certainty::kNotRun;
        RC_ASSERT(!(not_run && attempts_run_.contains(attempt)));
      }
    }
    for (const std::string& attempt : refused_as_not_run_) {
      RC_ASSERT(!attempts_run_.contains(attempt));
    }
  }

 private:
  /// Removes an attempt from the count of runs, because the upstream received
  /// no byte of it.
  void UncountRun(const std::string& attempt) {
    attempts_run_.erase(attempt);
    --runs_by_key_[key_of_[attempt]];
  }

  std::unique_ptr<OwnerHarness> MakeHarness(size_t owner) {
    owners_made_ += 1;
    return std::make_unique<OwnerHarness>(
        "o" + std::to_string(owner) + "." + std::to_string(owners_made_),
        ledger_);
  }

  OwnerHarness& HarnessOf(size_t owner) {
    if (harnesses_[owner] == nullptr) harnesses_[owner] = MakeHarness(owner);
    return *harnesses_[owner];
  }

  ClaimLedger ledger_;
  std::map<size_t, std::unique_ptr<OwnerHarness>> harnesses_;
  std::map<std::string, std::string> key_of_;
  std::map<std::string, int> runs_by_key_;
  std::set<std::string> attempts_run_;
  std::set<std::string> refused_as_not_run_;
  std::set<std::pair<size_t, RunId>> counted_runs_;
  int owners_made_ = 0;
  int sent_ = 0;
};

RC_GTEST_PROP(Owners, RunAKeyOnceAndReportNotRunCorrectly, ()) {
  ResendSimulation simulation;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const auto owner = *rc::gen::inRange<size_t>(0, 2);
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
      case 2:
        simulation.Send(owner);
        break;
      case 3:
        simulation.Cancel(owner);
        break;
      case 4:
        simulation.Wait(owner,
                        std::chrono::milliseconds(*rc::gen::inRange(1, 2500)));
        break;
      case 5:
        simulation.ApplyDelayedCommand(owner);
        break;
      case 6:
        simulation.EndRun(owner, *rc::gen::element(true, false));
        break;
      case 7:
        simulation.ReplaceOwner(owner);
        break;
      default:
        simulation.DeliverNext(
            owner,
            *rc::gen::element(Delivery::kAnswered, Delivery::kAnswered,
                              Delivery::kAnswerLost, Delivery::kCommandLost,
                              Delivery::kUnavailable));
    }
    simulation.CheckRuns();
  }
}

}  // namespace
}  // namespace hibiscusglade
