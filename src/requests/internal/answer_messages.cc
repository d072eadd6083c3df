#include "requests/internal/answer_messages.h"

#include "requests/internal/call_codec.h"

namespace hibiscusglade {

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
