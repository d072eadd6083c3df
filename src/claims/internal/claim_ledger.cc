#include "claims/claim_ledger.h"

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {

std::string ClaimLedger::Apply(std::string_view bytes) {
  auto command = DecodeClaim(bytes);
  if (!command.has_value()) {
    return EncodeClaimOutcome({ClaimsCode::kDamagedCommand, ""});
  }
  return EncodeClaimOutcome(Decide(*command));
}

ClaimOutcome ClaimLedger::Decide(const ClaimCommand& command) {
  if (command.kind == ClaimKind::kClaim) return Grant(command);
  auto found = claims_.find({command.service, command.key});
  const bool holds = found != claims_.end() &&
                     found->second.command.attempt == command.attempt;
  if (!holds) return {ClaimsCode::kOutcomeUnknown, ""};
  if (command.kind == ClaimKind::kFinish) {
    found->second.done = true;
    found->second.command.answer = command.answer;
  } else if (!found->second.done) {
    claims_.erase(found);
  }
  return {};
}

ClaimOutcome ClaimLedger::Grant(const ClaimCommand& command) {
  auto [place, is_new] = claims_.try_emplace({command.service, command.key},
                                             Claim{command, false});
  return is_new ? ClaimOutcome{} : Meet(place->second, command);
}

ClaimOutcome ClaimLedger::Meet(const Claim& held, const ClaimCommand& command) {
  if (held.command.request_digest != command.request_digest) {
    return {ClaimsCode::kKeyReused, ""};
  }
  if (held.done) return {ClaimsCode::kAlreadyDone, held.command.answer};
  // The same attempt's own command, proposed twice.
  if (held.command.attempt == command.attempt) return {};
  return {ClaimsCode::kOutcomeUnknown, ""};
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
  return snapshot.SerializeAsString();
}

bool ClaimLedger::Restore(std::string_view bytes) {
  wire::ClaimsSnapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  std::map<Key, Claim> claims;
  for (const wire::ClaimRequest& in : snapshot.claims()) {
    auto command = DecodeClaim(in.SerializeAsString());
    if (!command.has_value()) return false;
    const bool done = command->kind == ClaimKind::kFinish;
    command->kind = ClaimKind::kClaim;
    claims[{command->service, command->key}] = {*command, done};
  }
  claims_ = std::move(claims);
  return true;
}

}  // namespace hibiscusglade
