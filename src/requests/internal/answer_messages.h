#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_ANSWER_MESSAGES_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_ANSWER_MESSAGES_H_

#include "entry/entry.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Passes an owner's message about an attempt to the entry that sent it; other
/// messages are ignored.
void PassToEntry(const wire::Envelope& message, Entry& entry, Instant now);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_ANSWER_MESSAGES_H_
