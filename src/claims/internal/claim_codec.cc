#include "claims/claim_codec.h"

#include "calls/answer_status.h"
#include "calls/header_codec.h"
#include "claims/claims_result_codes.h"
#include "wire/peer.pb.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

template <typename Message>
bool Parse(std::string_view bytes, Message& message) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace

std::string EncodeClaim(const ClaimCommand& command) {
  wire::ClaimRequest out;
  out.set_kind(static_cast<uint32_t>(command.kind));
  out.set_service(command.service);
  out.set_key(command.key);
  out.set_request_digest(command.request_digest);
  out.set_attempt(command.attempt);
  out.set_owner(command.owner);
  out.set_answer(command.answer);
  out.set_expires_at(static_cast<uint64_t>(command.expires_at));
  return out.SerializeAsString();
}

std::optional<ClaimCommand> DecodeClaim(std::string_view bytes) {
  wire::ClaimRequest in;
  if (!Parse(bytes, in) || in.kind() < 1 || in.kind() > 3) return std::nullopt;
  return ClaimCommand{static_cast<ClaimKind>(in.kind()),
                      in.service(),
                      in.key(),
                      in.request_digest(),
                      in.attempt(),
                      in.owner(),
                      in.answer(),
                      static_cast<int64_t>(in.expires_at())};
}

std::string EncodeClaimOutcome(const ClaimOutcome& outcome) {
  wire::ClaimAnswer out;
  out.set_code(outcome.error.value());
  out.set_kept_answer(outcome.kept_answer);
  return out.SerializeAsString();
}

ClaimOutcome DecodeClaimOutcome(std::string_view bytes) {
  wire::ClaimAnswer in;
  if (!Parse(bytes, in)) return {ClaimsCode::kDamagedCommand, ""};
  std::error_code error;
  if (in.code() != 0) error = static_cast<ClaimsCode>(in.code());
  return {error, in.kept_answer()};
}

std::string EncodeKeptAnswer(const KeptAnswer& answer) {
  wire::StoredAnswer out;
  out.set_status(static_cast<uint32_t>(answer.head.status));
  FillHeaders(answer.head.headers, out);
  out.set_body(answer.body);
  return out.SerializeAsString();
}

std::optional<KeptAnswer> DecodeKeptAnswer(std::string_view bytes) {
  wire::StoredAnswer in;
  if (!Parse(bytes, in) || !IsAnswerStatus(in.status())) return std::nullopt;
  KeptAnswer answer;
  answer.head.status = static_cast<int>(in.status());
  answer.head.headers = HeadersOf(in);
  answer.head.content_length = static_cast<int64_t>(in.body().size());
  answer.body = in.body();
  return answer;
}

}  // namespace hibiscusglade
