#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "claims/claim_codec.h"
#include "claims/claim_ledger.h"
#include "claims/claims_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr int kAttempts = 6;
constexpr int kKeys = 2;

/// Attempts whose commands are applied late, twice and in any order. The
/// reference model counts runs per key: an attempt runs when its claim is
/// granted before its owner sends the revocation.
class Attempts {
 public:
  void Send(ClaimKind kind, int attempt) {
    // An owner revokes only attempts that it has not run.
    if (kind == ClaimKind::kRevoke && ran_.contains(attempt)) return;
    ClaimCommand command;
    command.kind = kind;
    command.service = "orders";
    command.key = KeyOf(attempt);
    command.attempt = "a" + std::to_string(attempt);
    command.owner = "o" + std::to_string(attempt % 3);
    command.expires_at = now_ + kClaimLifetimeMicros;
    in_flight_.push_back({command, attempt});
    if (kind == ClaimKind::kRevoke) revoking_.insert(attempt);
  }

  /// Applies one command in flight; with `again`, it can be applied again
  /// later.
  void Deliver(size_t which, bool again) {
    if (in_flight_.empty()) return;
    const size_t index = which % in_flight_.size();
    const auto [command, attempt] = in_flight_[index];
    if (!again) {
      in_flight_.erase(in_flight_.begin() + static_cast<long>(index));
    }
    const ClaimOutcome outcome =
        DecodeClaimOutcome(ledger_.Apply(EncodeClaim(command)));
    if (outcome.error) return;
    if (command.kind == ClaimKind::kRevoke) confirmed_not_run_.insert(attempt);
    if (command.kind == ClaimKind::kClaim) OnGranted(attempt);
  }

  void RestoreFromSnapshot() {
    ClaimLedger other;
    RC_ASSERT(other.Restore(ledger_.Snapshot()));
    ledger_ = std::move(other);
  }

  void AdvanceTime(int64_t micros) { now_ += micros; }

 private:
  static std::string KeyOf(int attempt) {
    return "k" + std::to_string(attempt % kKeys);
  }

  void OnGranted(int attempt) {
    RC_ASSERT(!confirmed_not_run_.contains(attempt));
    if (revoking_.contains(attempt) || !ran_.insert(attempt).second) return;
    RC_ASSERT(++runs_[KeyOf(attempt)] == 1);
  }

  ClaimLedger ledger_;
  std::vector<std::pair<ClaimCommand, int>> in_flight_;
  std::set<int> revoking_;
  std::set<int> confirmed_not_run_;
  std::set<int> ran_;
  std::map<std::string, int> runs_;
  int64_t now_ = 100 * kClaimLifetimeMicros;
};

RC_GTEST_PROP(TheLedger, LetsAKeyRunOnceWithinItsLifetime, ()) {
  Attempts attempts;
  std::set<int> claimed;
  const int steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const int attempt = *rc::gen::inRange(0, kAttempts);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        if (claimed.insert(attempt).second) {
          attempts.Send(ClaimKind::kClaim, attempt);
        }
        break;
      case 1:
        attempts.Send(ClaimKind::kRevoke, attempt);
        break;
      case 2:
        attempts.RestoreFromSnapshot();
        break;
      case 3:
        attempts.AdvanceTime(kClaimLifetimeMicros / 1000);
        break;
      default:
        attempts.Deliver(*rc::gen::arbitrary<size_t>(),
                         *rc::gen::element(true, false));
    }
  }
}

}  // namespace
}  // namespace hibiscusglade
