#include "claims/claim_ledger.h"

#include <algorithm>
#include <deque>

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

/// Memory of one claim or revoked attempt without its strings.
constexpr size_t kRowBytes = 400;

size_t BytesOf(const ClaimCommand& command) {
  return kRowBytes + 2 * (command.service.size() + command.key.size()) +
         command.attempt.size() + command.owner.size() + command.answer.size();
}

size_t BytesOfRevoked(const std::string& service, const std::string& key,
                      const std::string& attempt) {
  return kRowBytes + 2 * (service.size() + key.size() + attempt.size());
}

ClaimCommand RevokeCommand(const std::string& service, const std::string& key,
                           const std::string& attempt, int64_t expires_at) {
  ClaimCommand command;
  command.kind = ClaimKind::kRevoke;
  command.service = service;
  command.key = key;
  command.attempt = attempt;
  command.expires_at = expires_at;
  return command;
}

}  // namespace

std::string ClaimLedger::Apply(std::string_view bytes) {
  auto command = DecodeClaim(bytes);
  if (!command.has_value() || command->attempt.empty()) {
    return EncodeClaimOutcome({ClaimsCode::kDamagedCommand, ""});
  }
  time_.Observe(command->owner, command->expires_at - kClaimLifetimeMicros);
  RemoveExpired();
  return EncodeClaimOutcome(Decide(*command));
}

ClaimOutcome ClaimLedger::Decide(const ClaimCommand& command) {
  // A claim or revocation that blocks this command may have expired as well, so
  // a command past its expiry must not be granted.
  if (command.expires_at <= time_.Now()) {
    return {ClaimsCode::kClaimTooLate, ""};
  }
  switch (command.kind) {
    case ClaimKind::kClaim:
      return Grant(command);
    case ClaimKind::kFinish:
      return Finish(command);
    case ClaimKind::kRevoke:
      return Revoke(command);
  }
  return {ClaimsCode::kDamagedCommand, ""};
}

ClaimOutcome ClaimLedger::Grant(const ClaimCommand& command) {
  const Key key{command.service, command.key};
  if (revoked_.contains({key, command.attempt})) {
    return {ClaimsCode::kAttemptRevoked, ""};
  }
  auto found = claims_.find(key);
  if (found != claims_.end()) return OutcomeForClaimed(found->second, command);
  if (bytes_ + BytesOf(command) > max_bytes_) {
    return {ClaimsCode::kLedgerFull, ""};
  }
  AddClaim(command, false);
  return {};
}

ClaimOutcome ClaimLedger::OutcomeForClaimed(const Claim& claim,
                                            const ClaimCommand& command) {
  if (claim.command.request_digest != command.request_digest) {
    return {ClaimsCode::kKeyReused, ""};
  }
  if (claim.done) {
    if (claim.command.answer.empty()) return {ClaimsCode::kAnswerNotKept, ""};
    return {ClaimsCode::kAlreadyDone, claim.command.answer};
  }
  // The same claim, applied a second time.
  if (claim.command.attempt == command.attempt) return {};
  return {ClaimsCode::kOutcomeUnknown, ""};
}

ClaimOutcome ClaimLedger::Finish(const ClaimCommand& command) {
  Claim* claim = FindClaimOfAttempt(command);
  if (claim == nullptr) return {ClaimsCode::kOutcomeUnknown, ""};
  if (claim->done) return {};
  ClaimCommand finished = command;
  finished.kind = ClaimKind::kClaim;
  finished.request_digest = claim->command.request_digest;
  finished.expires_at = std::max(command.expires_at, claim->command.expires_at);
  const bool fits = command.answer.size() <= kMaxKeptAnswerBytes &&
                    bytes_ + command.answer.size() <= max_bytes_;
  if (!fits) finished.answer.clear();
  RemoveClaim({command.service, command.key});
  AddClaim(finished, true);
  return {};
}

ClaimOutcome ClaimLedger::Revoke(const ClaimCommand& command) {
  const Key key{command.service, command.key};
  if (Claim* claim = FindClaimOfAttempt(command)) {
    if (claim->done) return {ClaimsCode::kOutcomeUnknown, ""};
    RemoveClaim(key);
  }
  AddRevoked({key, command.attempt}, command.expires_at);
  return {};
}

ClaimLedger::Claim* ClaimLedger::FindClaimOfAttempt(
    const ClaimCommand& command) {
  auto found = claims_.find({command.service, command.key});
  const bool is_claimed = found != claims_.end() &&
                          found->second.command.attempt == command.attempt;
  return is_claimed ? &found->second : nullptr;
}

void ClaimLedger::AddClaim(const ClaimCommand& command, bool done) {
  const Key key{command.service, command.key};
  claims_[key] = {command, done};
  expiries_.insert({command.expires_at, {key, ""}});
  bytes_ += BytesOf(command);
}

void ClaimLedger::RemoveClaim(const Key& key) {
  auto found = claims_.find(key);
  bytes_ -= BytesOf(found->second.command);
  expiries_.erase({found->second.command.expires_at, {key, ""}});
  claims_.erase(found);
}

void ClaimLedger::AddRevoked(const RowId& id, int64_t expires_at) {
  auto [found, is_new] = revoked_.try_emplace(id, expires_at);
  if (is_new) {
    bytes_ += BytesOfRevoked(id.key.first, id.key.second, id.attempt);
  } else {
    expiries_.erase({found->second, id});
    found->second = std::max(found->second, expires_at);
  }
  expiries_.insert({found->second, id});
}

void ClaimLedger::RemoveExpired() {
  while (!expiries_.empty() && expiries_.begin()->first <= time_.Now()) {
    const RowId id = expiries_.begin()->second;
    if (id.attempt.empty()) {
      RemoveClaim(id.key);
      continue;
    }
    expiries_.erase(expiries_.begin());
    revoked_.erase(id);
    bytes_ -= BytesOfRevoked(id.key.first, id.key.second, id.attempt);
  }
}

std::string ClaimLedger::Read(std::string_view) const {
  return std::to_string(claims_.size());
}

std::string ClaimLedger::Snapshot() const {
  wire::ClaimsSnapshot snapshot;
  for (const auto& [key, claim] : claims_) {
    ClaimCommand command = claim.command;
    if (claim.done) command.kind = ClaimKind::kFinish;
    snapshot.add_claims()->ParseFromString(EncodeClaim(command));
  }
  for (const auto& [id, expires_at] : revoked_) {
    snapshot.add_claims()->ParseFromString(EncodeClaim(
        RevokeCommand(id.key.first, id.key.second, id.attempt, expires_at)));
  }
  for (const OwnerTime& owner : time_.Owners()) {
    auto* out = snapshot.add_owner_times();
    out->set_owner(owner.owner);
    out->set_time(owner.time);
  }
  snapshot.set_time(time_.Now());
  return snapshot.SerializeAsString();
}

bool ClaimLedger::Restore(std::string_view bytes) {
  wire::ClaimsSnapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  ClaimLedger restored(max_bytes_);
  for (const wire::ClaimRequest& in : snapshot.claims()) {
    auto command = DecodeClaim(in.SerializeAsString());
    if (!command.has_value()) return false;
    if (command->kind == ClaimKind::kRevoke) {
      restored.AddRevoked({{command->service, command->key}, command->attempt},
                          command->expires_at);
      continue;
    }
    const bool done = command->kind == ClaimKind::kFinish;
    command->kind = ClaimKind::kClaim;
    restored.AddClaim(*command, done);
  }
  std::deque<OwnerTime> owners;
  for (const auto& in : snapshot.owner_times()) {
    owners.push_back({in.owner(), in.time()});
  }
  restored.time_ = LedgerTime(std::move(owners), snapshot.time());
  *this = std::move(restored);
  return true;
}

}  // namespace hibiscusglade
