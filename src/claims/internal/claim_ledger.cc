#include "claims/claim_ledger.h"

#include <algorithm>
#include <deque>

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

/// Memory of one claim or burnt attempt besides its texts.
constexpr size_t kRowBytes = 400;

size_t BytesOf(const ClaimCommand& command) {
  return kRowBytes + 2 * (command.service.size() + command.key.size()) +
         command.attempt.size() + command.owner.size() + command.answer.size();
}

size_t BytesOfBurnt(const std::string& service, const std::string& key,
                    const std::string& attempt) {
  return kRowBytes + 2 * (service.size() + key.size() + attempt.size());
}

ClaimCommand BurntCommand(const std::string& service, const std::string& key,
                          const std::string& attempt, int64_t expires_at) {
  ClaimCommand command;
  command.kind = ClaimKind::kBurn;
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
  Expire();
  return EncodeClaimOutcome(Decide(*command));
}

ClaimOutcome ClaimLedger::Decide(const ClaimCommand& command) {
  // What stopped it may have expired since: it must not be granted now.
  if (command.expires_at <= time_.Now()) {
    return {ClaimsCode::kClaimTooLate, ""};
  }
  switch (command.kind) {
    case ClaimKind::kClaim:
      return Grant(command);
    case ClaimKind::kFinish:
      return Finish(command);
    case ClaimKind::kBurn:
      return Burn(command);
  }
  return {ClaimsCode::kDamagedCommand, ""};
}

ClaimOutcome ClaimLedger::Grant(const ClaimCommand& command) {
  const Key key{command.service, command.key};
  if (burnt_.contains({key, command.attempt})) {
    return {ClaimsCode::kAttemptBurnt, ""};
  }
  auto found = claims_.find(key);
  if (found != claims_.end()) return Meet(found->second, command);
  if (bytes_ + BytesOf(command) > max_bytes_) {
    return {ClaimsCode::kLedgerFull, ""};
  }
  Hold(command, false);
  return {};
}

ClaimOutcome ClaimLedger::Meet(const Claim& held, const ClaimCommand& command) {
  if (held.command.request_digest != command.request_digest) {
    return {ClaimsCode::kKeyReused, ""};
  }
  if (held.done) {
    if (held.command.answer.empty()) return {ClaimsCode::kAnswerNotKept, ""};
    return {ClaimsCode::kAlreadyDone, held.command.answer};
  }
  // The same attempt's own command, proposed twice.
  if (held.command.attempt == command.attempt) return {};
  return {ClaimsCode::kOutcomeUnknown, ""};
}

ClaimOutcome ClaimLedger::Finish(const ClaimCommand& command) {
  Claim* held = HeldBy(command);
  if (held == nullptr) return {ClaimsCode::kOutcomeUnknown, ""};
  if (held->done) return {};
  ClaimCommand finished = command;
  finished.kind = ClaimKind::kClaim;
  finished.request_digest = held->command.request_digest;
  finished.expires_at = std::max(command.expires_at, held->command.expires_at);
  const bool fits = command.answer.size() <= kMaxKeptAnswerBytes &&
                    bytes_ + command.answer.size() <= max_bytes_;
  if (!fits) finished.answer.clear();
  Drop({command.service, command.key});
  Hold(finished, true);
  return {};
}

ClaimOutcome ClaimLedger::Burn(const ClaimCommand& command) {
  const Key key{command.service, command.key};
  if (Claim* held = HeldBy(command)) {
    if (held->done) return {ClaimsCode::kOutcomeUnknown, ""};
    Drop(key);
  }
  HoldBurnt({key, command.attempt}, command.expires_at);
  return {};
}

ClaimLedger::Claim* ClaimLedger::HeldBy(const ClaimCommand& command) {
  auto found = claims_.find({command.service, command.key});
  const bool holds = found != claims_.end() &&
                     found->second.command.attempt == command.attempt;
  return holds ? &found->second : nullptr;
}

void ClaimLedger::Hold(const ClaimCommand& command, bool done) {
  const Key key{command.service, command.key};
  claims_[key] = {command, done};
  expiries_.insert({command.expires_at, {key, ""}});
  bytes_ += BytesOf(command);
}

void ClaimLedger::Drop(const Key& key) {
  auto found = claims_.find(key);
  bytes_ -= BytesOf(found->second.command);
  expiries_.erase({found->second.command.expires_at, {key, ""}});
  claims_.erase(found);
}

void ClaimLedger::HoldBurnt(const Name& name, int64_t expires_at) {
  auto [place, is_new] = burnt_.try_emplace(name, expires_at);
  if (is_new) {
    bytes_ += BytesOfBurnt(name.key.first, name.key.second, name.attempt);
  } else {
    expiries_.erase({place->second, name});
    place->second = std::max(place->second, expires_at);
  }
  expiries_.insert({place->second, name});
}

void ClaimLedger::Expire() {
  while (!expiries_.empty() && expiries_.begin()->first <= time_.Now()) {
    const Name name = expiries_.begin()->second;
    if (name.attempt.empty()) {
      Drop(name.key);
      continue;
    }
    expiries_.erase(expiries_.begin());
    burnt_.erase(name);
    bytes_ -= BytesOfBurnt(name.key.first, name.key.second, name.attempt);
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
  for (const auto& [name, expires_at] : burnt_) {
    snapshot.add_claims()->ParseFromString(EncodeClaim(BurntCommand(
        name.key.first, name.key.second, name.attempt, expires_at)));
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
    if (command->kind == ClaimKind::kBurn) {
      restored.HoldBurnt({{command->service, command->key}, command->attempt},
                         command->expires_at);
      continue;
    }
    const bool done = command->kind == ClaimKind::kFinish;
    command->kind = ClaimKind::kClaim;
    restored.Hold(*command, done);
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
