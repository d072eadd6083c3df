#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_CALL_CODEC_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_CALL_CODEC_H_

#include "admission/quarantine.h"
#include "calls/types/call_types.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

void ToWire(const CallAttempt& attempt, wire::CallStart& out);
CallAttempt FromWire(const wire::CallStart& in);

void ToWire(const AnswerHead& head, wire::AnswerHead& out);
AnswerHead FromWire(const wire::AnswerHead& in);

void ToWire(const Refusal& refusal, wire::AnswerRefused& out);
Refusal FromWire(const wire::AnswerRefused& in);

void ToWire(const LoadReport& load, wire::LoadReport& out);
LoadReport FromWire(const wire::LoadReport& in);

void ToWire(const QuarantineNotice& notice, wire::QuarantineNotice& out);
QuarantineNotice FromWire(const wire::QuarantineNotice& in);

/// Looks up the result code of a number received from another daemon.
/// @return RoutingCode::kOwnerLost when the number is unknown.
std::error_code ResultCodeFromNumber(int number);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_CALL_CODEC_H_
