#include "requests/internal/answer_messages.h"

#include "requests/internal/call_codec.h"

namespace hibiscusglade {

wire::Envelope HeadMessage(const AttemptId& attempt, const AnswerHead& head,
                           const LoadReport& load) {
  wire::Envelope message;
  wire::AnswerHead* out = message.mutable_answer_head();
  ToWire(head, *out);
  out->set_attempt(attempt);
  ToWire(load, *out->mutable_load());
  return message;
}

wire::Envelope EndMessage(const AttemptId& attempt, const AnswerEnd& end,
                          const LoadReport& load) {
  wire::Envelope message;
  wire::AnswerEnd* out = message.mutable_answer_end();
  out->set_attempt(attempt);
  out->set_chunks(end.chunks);
  out->set_bytes(end.bytes);
  out->set_digest(end.digest);
  ToWire(load, *out->mutable_load());
  return message;
}

wire::Envelope RefusedMessage(const AttemptId& attempt, const Refusal& refusal,
                              const LoadReport& load) {
  wire::Envelope message;
  wire::AnswerRefused* out = message.mutable_answer_refused();
  ToWire(refusal, *out);
  out->set_attempt(attempt);
  ToWire(load, *out->mutable_load());
  return message;
}

void PassToEntry(const wire::Envelope& message, Entry& entry, Instant now) {
  switch (message.body_case()) {
    case wire::Envelope::kAnswerHead: {
      const wire::AnswerHead& in = message.answer_head();
      entry.OnAnswerHead(in.attempt(), FromWire(in), FromWire(in.load()), now);
      break;
    }
    case wire::Envelope::kAnswerChunk:
      entry.OnAnswerChunk(message.answer_chunk().attempt(),
                          message.answer_chunk().sequence(),
                          message.answer_chunk().data(), now);
      break;
    case wire::Envelope::kAnswerEnd: {
      const wire::AnswerEnd& in = message.answer_end();
      entry.OnAnswerEnd(in.attempt(), {in.chunks(), in.bytes(), in.digest()},
                        FromWire(in.load()), now);
      break;
    }
    case wire::Envelope::kAnswerRefused: {
      const wire::AnswerRefused& in = message.answer_refused();
      entry.OnAnswerRefused(in.attempt(), FromWire(in), FromWire(in.load()),
                            now);
      break;
    }
    case wire::Envelope::kBodyGrant:
      entry.OnBodyGranted(message.body_grant().attempt(),
                          message.body_grant().until());
      break;
    default:
      break;
  }
}

}  // namespace hibiscusglade
