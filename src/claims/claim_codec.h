#ifndef HIBISCUSGLADE_CLAIMS_CLAIM_CODEC_H_
#define HIBISCUSGLADE_CLAIMS_CLAIM_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "calls/types/call_types.h"
#include "claims/types/claim_types.h"

namespace hibiscusglade {

std::string EncodeClaim(const ClaimCommand& command);
std::optional<ClaimCommand> DecodeClaim(std::string_view bytes);

std::string EncodeClaimOutcome(const ClaimOutcome& outcome);

/// @return the outcome; ClaimsCode::kDamagedCommand when it can't be read.
ClaimOutcome DecodeClaimOutcome(std::string_view bytes);

/// A complete answer, stored to be returned when its request is resent.
struct KeptAnswer {
  AnswerHead head;
  std::string body;

  friend bool operator==(const KeptAnswer&, const KeptAnswer&) = default;
};

std::string EncodeKeptAnswer(const KeptAnswer& answer);
std::optional<KeptAnswer> DecodeKeptAnswer(std::string_view bytes);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CLAIMS_CLAIM_CODEC_H_
