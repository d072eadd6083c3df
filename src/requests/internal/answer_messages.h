#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_ANSWER_MESSAGES_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_ANSWER_MESSAGES_H_

#include "entry/entry.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// @return messages of an owner about an attempt, each with its load.
wire::Envelope HeadMessage(const AttemptId& attempt, const AnswerHead& head,
                           const LoadReport& load);
wire::Envelope EndMessage(const AttemptId& attempt, const AnswerEnd& end,
                          const LoadReport& load);
wire::Envelope RefusedMessage(const AttemptId& attempt, const Refusal& refusal,
                              const LoadReport& load);

/// Passes an owner's message about an attempt to the entry that sent it; other
/// messages are ignored.
void PassToEntry(const wire::Envelope& message, Entry& entry, Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_ANSWER_MESSAGES_H_
