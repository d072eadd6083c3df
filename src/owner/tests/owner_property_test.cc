#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

#include "owner/tests/owner_fixture.h"

namespace hibiscusglade {
namespace {

/// Callers resend through two owners at once; the way to the one ledger loses
/// commands and answers, and owners die. The reference counts runs per key.
class Resends {
 public:
  void Send(size_t owner) {
    const std::string key = "k" + std::to_string(sent_ % 2);
    const std::string attempt = "a" + std::to_string(sent_++);
    key_of_[attempt] = key;
    Seat(owner).Start(attempt, key);
  }

  void Pass(size_t owner, Way way) {
    OwnerSeat& seat = Seat(owner);
    if (!seat.store.open.empty()) seat.store.Pass(way);
  }

  /// A command that was thought lost arrives.
  void PassLate(size_t owner) {
    std::deque<ClaimCommand>& late = Seat(owner).store.late;
    if (late.empty()) return;
    ledger_.Apply(EncodeClaim(late.front()));
    late.pop_front();
  }

  void EndRun(size_t owner, bool answered) {
    OwnerSeat& seat = Seat(owner);
    if (seat.recorder.started.empty()) return;
    const RunId run = seat.recorder.started.begin()->first;
    const RunProgress progress =
        *rc::gen::element(RunProgress::kNotSent, RunProgress::kSent);
    if (answered) {
      seat.Answer(run);
      return;
    }
    const std::string attempt = seat.recorder.started[run].id;
    seat.recorder.started.erase(run);
    if (progress == RunProgress::kNotSent) NeverSeen(attempt);
    seat.owner->OnRunFailed(run, {progress, false, "timeout"}, seat.clock.now);
  }

  void Cancel(size_t owner) {
    if (sent_ == 0) return;
    const std::string attempt = "a" + std::to_string(sent_ - 1);
    Seat(owner).owner->OnCancel("entry", attempt, Seat(owner).clock.now);
  }

  void Wait(size_t owner, Duration time) { Seat(owner).Wait(time); }

  void Kill(size_t owner) {
    CheckRuns();
    for (const auto& [attempt, certainty] : Seat(owner).recorder.refused) {
      if (certainty == Certainty::kNotRun) not_run_.insert(attempt);
    }
    std::erase_if(counted_,
                  [owner](const auto& run) { return run.first == owner; });
    seats_[owner] = MakeSeat(owner);
  }

  /// Every key ran at most once, and nothing ran of which the opposite was
  /// said.
  void CheckRuns() {
    for (size_t owner = 0; owner < 2; ++owner) {
      for (const auto& [run, attempt] : Seat(owner).recorder.started) {
        if (!counted_.insert({owner, run}).second) continue;
        ran_.insert(attempt.id);
        RC_ASSERT(++runs_[key_of_[attempt.id]] <= 1);
      }
      for (const auto& [attempt, certainty] : Seat(owner).recorder.refused) {
        const bool not_run = certainty == Certainty::kNotRun;
        RC_ASSERT(!(not_run && ran_.contains(attempt)));
      }
    }
    for (const std::string& attempt : not_run_) {
      RC_ASSERT(!ran_.contains(attempt));
    }
  }

 private:
  /// The upstream took no byte of what was counted as a run.
  void NeverSeen(const std::string& attempt) {
    ran_.erase(attempt);
    --runs_[key_of_[attempt]];
  }

  std::unique_ptr<OwnerSeat> MakeSeat(size_t owner) {
    generations_ += 1;
    return std::make_unique<OwnerSeat>(
        "o" + std::to_string(owner) + "." + std::to_string(generations_),
        ledger_);
  }

  OwnerSeat& Seat(size_t owner) {
    if (seats_[owner] == nullptr) seats_[owner] = MakeSeat(owner);
    return *seats_[owner];
  }

  ClaimLedger ledger_;
  std::map<size_t, std::unique_ptr<OwnerSeat>> seats_;
  std::map<std::string, std::string> key_of_;
  std::map<std::string, int> runs_;
  std::set<std::string> ran_;
  std::set<std::string> not_run_;
  std::set<std::pair<size_t, RunId>> counted_;
  int generations_ = 0;
  int sent_ = 0;
};

RC_GTEST_PROP(Owners, RunAKeyOnceAndSayNotRunTruly, ()) {
  Resends resends;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const auto owner = *rc::gen::inRange<size_t>(0, 2);
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
      case 2:
        resends.Send(owner);
        break;
      case 3:
        resends.Cancel(owner);
        break;
      case 4:
        resends.Wait(owner,
                     std::chrono::milliseconds(*rc::gen::inRange(1, 2500)));
        break;
      case 5:
        resends.PassLate(owner);
        break;
      case 6:
        resends.EndRun(owner, *rc::gen::element(true, false));
        break;
      case 7:
        resends.Kill(owner);
        break;
      default:
        resends.Pass(owner, *rc::gen::element(Way::kAnswered, Way::kAnswered,
                                              Way::kAnswerLost, Way::kLost,
                                              Way::kUnavailable));
    }
    resends.CheckRuns();
  }
}

}  // namespace
}  // namespace hibiscusglade
